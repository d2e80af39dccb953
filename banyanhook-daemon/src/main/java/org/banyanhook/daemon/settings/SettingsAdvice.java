package org.banyanhook.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Reports settings that are valid but seldom intended. */
public final class SettingsAdvice {

    private SettingsAdvice() {}

    /**
     * Returns advice on settings.
     *
     * @param settings valid settings
     * @return one sentence for each finding, with the remedy; empty if there is none
     */
    public static List<String> of(DaemonSettings settings) {
        ImmutableList.Builder<String> advice = ImmutableList.builder();
        if (settings.peers().tls() == null && !isLoopback(settings.peers().address())) {
            advice.add("Peers are not authenticated on " + settings.peers().address() + "; set peers.tls.");
        }
        if (settings.callers().tls() == null && !isLoopback(settings.callers().address())) {
            advice.add("Keys of callers are sent in plain text to "
                    + settings.callers().address()
                    + "; set callers.tls, unless the platform's load balancer terminates TLS.");
        }
        boolean noOperator =
                settings.administration().operatorKeys().stream().noneMatch(key -> key.role() == OperatorRole.OPERATE);
        if (noOperator) {
            advice.add("No operator is allowed to make changes; add a key with role operate.");
        }
        if (settings.peers().seeds().isEmpty()) {
            advice.add("peers.seeds is empty, so peers are found only by the platform's list; add peer addresses.");
        }
        return advice.build();
    }

    private static boolean isLoopback(String address) {
        return Addresses.parse(address).getAddress().isLoopbackAddress();
    }
}
