package org.banyanhook.gateway.usage;

/** Counts the requests of client accounts at members. Used on the event loop only. */
public interface UsageMeter {
    /** Counts nothing, for deployments that require no reports. */
    UsageMeter NONE = new UsageMeter() {
        @Override
        public long recordSent(String account) {
            return 0;
        }

        @Override
        public void recordRan(long window, String account) {}

        @Override
        public void recordRefused(long window, String account) {}
    };

    /**
     * Records that a request is sent to a member. Each call must be followed by one of the others.
     *
     * @param account the client account
     * @return the window in which the request counts
     */
    long recordSent(String account);

    /** Records that a request has begun to run, or that this can no longer be found out. */
    void recordRan(long window, String account);

    /** Records that a member has refused a request without running it. */
    void recordRefused(long window, String account);
}
