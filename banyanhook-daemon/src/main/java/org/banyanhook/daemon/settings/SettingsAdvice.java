package org.banyanhook.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Tells what is allowed in settings but seldom meant. */
public final class SettingsAdvice {

    private SettingsAdvice() {}

    /**
     * Looks settings over.
     *
     * @param settings settings that were accepted
     * @return one sentence for each point, with its remedy; empty if there is none
     */
    public static List<String> of(DaemonSettings settings) {
        ImmutableList.Builder<String> advice = ImmutableList.builder();
        if (settings.peers().tls() == null && !isLoopback(settings.peers().address())) {
            advice.add("Peers are not authenticated on " + settings.peers().address() + "; set peers.tls.");
        }
        if (settings.callers().tls() == null && !isLoopback(settings.callers().address())) {
            advice.add("Keys of callers travel in plain text to "
                    + settings.callers().address() + "; set callers.tls, unless the platform's balancer ends TLS.");
        }
        boolean noOperator =
                settings.administration().operatorKeys().stream().noneMatch(key -> key.role() == OperatorRole.OPERATE);
        if (noOperator) {
            advice.add("No operator may change anything here; add a key with role operate.");
        }
        if (settings.peers().seeds().isEmpty()) {
            advice.add("There are no peers.seeds, so only the platform's list tells of peers; name some.");
        }
        return advice.build();
    }

    private static boolean isLoopback(String address) {
        return Addresses.parse(address).getAddress().isLoopbackAddress();
    }
}
