package org.banyanhook.gateway.port;

/**
 * A lease of the store. The store issues the identifiers of lost leases again in a later era, so an identifier alone
 * does not name a lease.
 *
 * @param era the era of the store in which the lease was open
 * @param id the identifier of the lease, 0 for none
 */
public record StoreLease(long era, long id) {

    /** The lease of a record that does not expire. */
    public static final StoreLease NONE = new StoreLease(0, 0);

    /** Returns whether this stands for no lease. */
    public boolean isNone() {
        return id == 0;
    }

    @Override
    public String toString() {
        return Long.toString(id);
    }
}
