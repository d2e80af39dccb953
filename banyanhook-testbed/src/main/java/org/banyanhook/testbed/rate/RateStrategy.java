package org.banyanhook.testbed.rate;

/** One way to decide about requests at an entry VM without waiting. */
@FunctionalInterface
interface RateStrategy {
    /**
     * Decides about one request.
     *
     * @param entryVm the number of the entry VM that received it
     * @param account the client account
     * @param nowNanos virtual time
     * @return whether it is accepted; if not, it may be tried again
     */
    boolean accept(int entryVm, String account, long nowNanos);
}
