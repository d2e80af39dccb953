package org.banyanhook.gateway.port;

/** Names and decodes the records of the store. */
public interface FleetRecordCodec {

    /** Returns what the keys of all records of interest begin with. */
    String keyPrefix();

    /**
     * Decodes a record.
     *
     * @param key its key
     * @param value its bytes
     * @return what it says; never fails
     */
    FleetRecord decode(String key, byte[] value);

    /** Returns the key of a daemon's entry. */
    String daemonKey(String entryVm);

    /**
     * Encodes a daemon's entry.
     *
     * @param entry what it says
     * @return its bytes
     */
    byte[] encode(DaemonEntry entry);

    /** Returns the key of the last promotion that was ordered for a group. */
    String promotionKey(String group);

    /**
     * Encodes the last promotion of a group.
     *
     * @param promotion what it says
     * @return its bytes
     */
    byte[] encode(FleetRecord.Promotion promotion);

    /** Returns the key whose holder may replace primaries. */
    String promotionLeaseKey();
}
