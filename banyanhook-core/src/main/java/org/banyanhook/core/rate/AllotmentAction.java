package org.banyanhook.core.rate;

/**
 * A request that an entry VM has to send to manage its allotment. The answer is passed back to
 * {@link AllotmentCoordinator}.
 */
public sealed interface AllotmentAction {

    /** Read the allotment record of the failure domain from the platform. */
    record ReadRecord() implements AllotmentAction {}

    /**
     * Replace the allotment record by compare-and-swap.
     *
     * @param record the new record
     * @param expectedRevision the revision that it replaces
     * @param reason the reason for the change, for the log
     */
    record SwapRecord(AllotmentRecord record, long expectedRevision, String reason) implements AllotmentAction {}

    /** Read the platform's list of virtual machines. */
    record ReadVirtualMachines() implements AllotmentAction {}

    /**
     * Ask a peer in the failure domain to renew this process's allotment lease.
     *
     * @param peer the name of the peer
     */
    record RenewLeaseAtPeer(String peer) implements AllotmentAction {}

    /**
     * Ask a peer in the failure domain how long ago it last renewed a holder's allotment lease.
     *
     * @param peer the name of the peer
     * @param holder the name of the holder
     * @param incarnation the incarnation of the holder
     */
    record QueryReclaim(String peer, String holder, long incarnation) implements AllotmentAction {}
}
