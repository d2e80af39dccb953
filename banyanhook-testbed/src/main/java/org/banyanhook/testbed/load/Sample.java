package org.banyanhook.testbed.load;

/**
 * The outcome of one request.
 *
 * @param account the client account
 * @param database the database
 * @param write whether it was a write
 * @param dueMillis when it was due to be sent, since the load began
 * @param latencyMicros how long after that the answer came
 * @param status the HTTP status, 0 if no answer came
 * @param refusal the kind of refusal, empty if there was none
 * @param replica whether a replica served it
 * @param withinRate whether the account was within its rate and burst when it was due
 * @param stale whether a read missed a write that its session had seen acknowledged
 */
record Sample(
        String account,
        String database,
        boolean write,
        long dueMillis,
        long latencyMicros,
        int status,
        String refusal,
        boolean replica,
        boolean withinRate,
        boolean stale) {

    private static final int SUCCESS = 200;

    boolean succeeded() {
        return status == SUCCESS;
    }

    long answeredMillis() {
        return dueMillis + latencyMicros / 1000;
    }
}
