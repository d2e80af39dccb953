package org.banyanhook.core.key;

/** Whether an entry VM may accept keys, as withdrawals made elsewhere may not have reached it. */
public enum KeyAdmission {
    IN_CONTACT(true, "withdrawals made elsewhere reach this entry VM"),
    NOWHERE_ELSE(true, "no other failure domain is in service, so no withdrawal is made elsewhere"),
    CUT_OFF_AND_SERVING(true, "this failure domain is cut off, and the settings say to serve"),
    CUT_OFF_AND_REFUSING(false, "this failure domain is cut off, and withdrawals made elsewhere may be missing");

    /** How long an entry VM may be without contact before it counts as cut off, in milliseconds. */
    public static final long MAXIMUM_CONTACT_AGE_MILLIS = 4_000;

    private final boolean acceptsKeys;
    private final String reason;

    KeyAdmission(boolean acceptsKeys, String reason) {
        this.acceptsKeys = acceptsKeys;
        this.reason = reason;
    }

    /**
     * Decides whether an entry VM may accept keys.
     *
     * @param policy what the settings say for an entry VM that is cut off
     * @param othersInService true if another failure domain is declared and not taken out
     * @param millisSinceContact how long ago the platform or an entry VM of another failure domain last showed that it
     *     knows of no withdrawal that this entry VM does not know, by this entry VM's monotonic clock
     * @return the decision with its reason
     */
    public static KeyAdmission decide(KeyPolicy policy, boolean othersInService, long millisSinceContact) {
        if (millisSinceContact <= MAXIMUM_CONTACT_AGE_MILLIS) {
            return IN_CONTACT;
        }
        if (!othersInService) {
            return NOWHERE_ELSE;
        }
        return policy == KeyPolicy.SERVE ? CUT_OFF_AND_SERVING : CUT_OFF_AND_REFUSING;
    }

    /** Returns whether keys may be accepted. */
    public boolean acceptsKeys() {
        return acceptsKeys;
    }

    /** Returns why, for the log line and the refusal. */
    public String reason() {
        return reason;
    }
}
