package org.banyanhook.core.rate;

/** What an entry VM has to send for its allotment. The answer is fed back to {@link AllotmentCoordinator}. */
public sealed interface AllotmentAction {

    /** Read the record of the failure domain from the platform. */
    record ReadRecord() implements AllotmentAction {}

    /**
     * Replace the record by compare-and-swap.
     *
     * @param record the new record
     * @param expectedRevision the revision that it replaces
     * @param reason why, for the log line
     */
    record SwapRecord(AllotmentRecord record, long expectedRevision, String reason) implements AllotmentAction {}

    /** Read the platform's list of virtual machines. */
    record ReadVirtualMachines() implements AllotmentAction {}

    /**
     * Ask a peer of the failure domain whether this process may go on.
     *
     * @param peer the name of the peer
     */
    record RenewLeaseAtPeer(String peer) implements AllotmentAction {}

    /**
     * Ask a peer of the failure domain whether it has seen a holder stay silent.
     *
     * @param peer the name of the peer
     * @param holder the name of the holder
     * @param incarnation the incarnation of the holder
     */
    record QueryReclaim(String peer, String holder, long incarnation) implements AllotmentAction {}
}
