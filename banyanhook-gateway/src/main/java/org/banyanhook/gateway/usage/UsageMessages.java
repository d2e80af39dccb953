package org.banyanhook.gateway.usage;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.banyanhook.core.usage.WindowUsage;
import org.banyanhook.protocol.generated.AccountUsage;
import org.banyanhook.protocol.generated.UsageCounts;
import org.banyanhook.protocol.generated.UsageWindow;

/** Converts counts to messages and back. */
final class UsageMessages {

    private UsageMessages() {}

    static UsageCounts toMessage(long incarnation, long decidedWindow, Collection<WindowUsage> usages) {
        UsageCounts.Builder message =
                UsageCounts.newBuilder().setIncarnation(incarnation).setDecidedWindow(decidedWindow);
        usages.forEach(usage -> message.addWindows(toMessage(usage.window(), usage.counts(), usage.complete())));
        return message.build();
    }

    static UsageWindow toMessage(long window, Map<String, Long> counts, boolean complete) {
        UsageWindow.Builder message = UsageWindow.newBuilder().setWindow(window).setComplete(complete);
        counts.forEach((account, requests) -> message.addAccounts(
                AccountUsage.newBuilder().setClientAccount(account).setRequests(requests)));
        return message.build();
    }

    static Map<String, Long> counts(UsageWindow message) {
        Map<String, Long> counts = new HashMap<>();
        message.getAccountsList()
                .forEach(account -> counts.merge(account.getClientAccount(), account.getRequests(), Math::max));
        return counts;
    }
}
