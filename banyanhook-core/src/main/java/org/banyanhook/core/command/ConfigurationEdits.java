package org.banyanhook.core.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Creates modified copies of parts of the configuration. */
final class ConfigurationEdits {

    private ConfigurationEdits() {}

    static <T> List<T> replaceMatching(List<T> elements, Predicate<T> selection, UnaryOperator<T> change) {
        return elements.stream()
                .map(element -> selection.test(element) ? change.apply(element) : element)
                .collect(ImmutableList.toImmutableList());
    }

    static ClientAccount findAccount(FleetConfiguration configuration, String account) throws RefusalException {
        return configuration
                .account(account)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID,
                        "The configuration has no client account " + account
                                + "; use one listed by 'show accounts', or add it with 'grant account'."));
    }

    static FleetConfiguration replaceAccount(
            FleetConfiguration configuration, String account, UnaryOperator<ClientAccount> change)
            throws RefusalException {
        findAccount(configuration, account);
        return configuration.toBuilder()
                .accounts(replaceMatching(
                        configuration.accounts(), entry -> entry.name().equals(account), change))
                .build();
    }
}
