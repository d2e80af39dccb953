package org.banyanhook.gateway.port;

/** Encodes and decodes the records of the store, and builds their keys. */
public interface FleetRecordCodec {

    /** Returns the common key prefix of all records that the gateway uses. */
    String keyPrefix();

    /**
     * Decodes a record.
     *
     * @param key the key of the record
     * @param value the bytes of the record
     * @return the decoded record; invalid contents give a {@link FleetRecord.Unusable}, never an exception
     */
    FleetRecord decode(String key, byte[] value);

    /** Returns the key of a daemon's entry. */
    String daemonKey(String entryVm);

    /**
     * Encodes a daemon's entry.
     *
     * @param entry the entry
     * @return the encoded bytes
     */
    byte[] encode(DaemonEntry entry);

    /** Returns the key of the last recorded promotion of a group. */
    String promotionKey(String group);

    /**
     * Encodes the last promotion of a group.
     *
     * @param promotion the promotion
     * @return the encoded bytes
     */
    byte[] encode(FleetRecord.Promotion promotion);

    /** Returns the key of the voters on the replacement of primaries. */
    String votersKey();

    /**
     * Encodes the voters on the replacement of primaries.
     *
     * @param voters the voters
     * @return the encoded bytes
     */
    byte[] encode(FleetRecord.Voters voters);

    /** Returns the key of a group's promotion lease, whose holder may replace the group's primary. */
    String promotionLeaseKey(String group);

    /**
     * Encodes the holder of a promotion lease.
     *
     * @param holder the lease and the daemon that holds it
     * @return the encoded bytes
     */
    byte[] encode(FleetRecord.PromotionLeaseHolder holder);

    /** Returns the key of the lease of the daemon that reports usage. */
    String usageDutyKey();

    /**
     * Encodes the holder of the duty of reporting usage.
     *
     * @param holder the daemon that holds the duty
     * @return the encoded bytes
     */
    byte[] encode(FleetRecord.UsageDutyHolder holder);

    /**
     * Returns the key of the windows of usage that were decided in an era of the store. The keys of all eras begin with
     * that of era 0.
     */
    String usageDecisionsKey(long era);
}
