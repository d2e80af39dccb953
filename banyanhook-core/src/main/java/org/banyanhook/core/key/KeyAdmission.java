package org.banyanhook.core.key;

/** The decision whether an entry VM may accept keys, given that withdrawals made elsewhere may not have reached it. */
public enum KeyAdmission {
    IN_CONTACT(true, "withdrawals made elsewhere reach this entry VM"),
    NOWHERE_ELSE(true, "no other failure domain is in service, so no withdrawal is made in another one"),
    CUT_OFF_AND_SERVING(true, "this failure domain is isolated, and the settings allow serving"),
    CUT_OFF_AND_REFUSING(false, "this failure domain is isolated, and withdrawals made elsewhere may be missing");

    /**
     * Maximum time since the last contact in milliseconds; an entry VM without contact for longer counts as isolated.
     */
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
     * @param policy the policy in the settings for an isolated entry VM
     * @param othersInService true if another failure domain is declared and not taken out
     * @param millisSinceContact the time since the platform or an entry VM of another failure domain last showed that
     *     it has no withdrawal that is missing on this entry VM, by this entry VM's monotonic clock
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

    /** Returns the reason, for the log line and the refusal. */
    public String reason() {
        return reason;
    }
}
