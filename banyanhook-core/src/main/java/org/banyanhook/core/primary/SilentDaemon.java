package org.banyanhook.core.primary;

/**
 * What is known of a daemon that did not answer a request for its vote on the replacement of a primary.
 *
 * <p>Load pattern: a primary fails while daemons that crashed or were removed are still remembered. Without this
 * decision every replacement in the half minute after the loss of a daemon takes
 * {@link PromotionPermission#STOPPED_AFTER_NANOS} longer.
 *
 * @param registered whether the store has an entry of the daemon, so that it may be in contact with the store
 * @param nanosSinceEntryEnded the time since its entry in the store was seen to end; ignored if it is registered
 * @param reportedByVoter whether a voter that answered was recently asked by the daemon, so that it may rely on the
 *     answers of a majority of the voters
 */
public record SilentDaemon(boolean registered, long nanosSinceEntryEnded, boolean reportedByVoter) {

    /**
     * Returns whether the daemon may still use the primary. It may as long as it is in contact with the store or with a
     * majority of the voters. The voters that have answered include one of any such majority, so a daemon that no voter
     * reports is not in contact with one.
     */
    public boolean mayUsePrimary() {
        return registered || nanosSinceEntryEnded < PromotionPermission.STOPPED_AFTER_NANOS || reportedByVoter;
    }
}
