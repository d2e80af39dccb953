package org.banyanhook.daemon.administration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.command.ChangeRequest;
import org.banyanhook.core.command.Command;
import org.banyanhook.core.command.ConfigurationChange;
import org.banyanhook.core.command.Explain;
import org.banyanhook.core.command.Show;
import org.banyanhook.core.command.WithdrawKey;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.configuration.ConfigurationController;
import org.banyanhook.daemon.configuration.PropagationReport;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.jspecify.annotations.Nullable;

/** Runs the commands of operators. Safe for use by several threads; never blocks. */
public final class CommandInterpreter {

    private static final Logger LOGGER = LogManager.getLogger(CommandInterpreter.class);
    private static final Duration CHANGE_CONFIRMATION_TIMEOUT = Duration.ofMillis(2_500);
    private static final Duration QUERY_CONFIRMATION_TIMEOUT = Duration.ofMillis(500);

    private final ConfigurationController controller;
    private final MembershipSource membership;
    private final DatabaseStatus databaseStatus;
    private final RouteExplainer routeExplainer;

    /**
     * Creates an interpreter.
     *
     * @param controller the controller of the configuration
     * @param membership the source of the live entry VMs
     * @param databaseStatus the source of the known primaries
     * @param routeExplainer the explainer of routing decisions
     */
    public CommandInterpreter(
            ConfigurationController controller,
            MembershipSource membership,
            DatabaseStatus databaseStatus,
            RouteExplainer routeExplainer) {
        this.controller = requireNonNull(controller, "controller");
        this.membership = requireNonNull(membership, "membership");
        this.databaseStatus = requireNonNull(databaseStatus, "databaseStatus");
        this.routeExplainer = requireNonNull(routeExplainer, "routeExplainer");
    }

    /**
     * Runs a command.
     *
     * @param command the parsed command
     * @param commandRequest the command as sent by the operator
     * @return the result; failed with a {@link RefusalException} that states whether a change may have taken effect
     */
    public CompletableFuture<CommandResult> run(Command command, CommandRequest commandRequest) {
        LOGGER.info(
                "operator {} runs '{}' with id {}",
                commandRequest.operator(),
                command.text(),
                commandRequest.commandId());
        if (command instanceof Show show) {
            return show(show);
        }
        if (command instanceof Explain explain) {
            return explain(explain);
        }
        return change((ConfigurationChange) command, commandRequest);
    }

    private CompletableFuture<CommandResult> show(Show show) {
        FleetConfiguration configuration = controller.current();
        return switch (show.subject()) {
            case ACCOUNTS -> completedResult(show, ConfigurationRows.accounts(configuration));
            case SERVICES -> completedResult(show, ConfigurationRows.services(configuration));
            case ROUTES -> completedResult(show, ConfigurationRows.routes(configuration));
            case DATABASES -> completedResult(show, ConfigurationRows.databases(configuration, databaseStatus));
            case FAILURE_DOMAINS ->
                resultWithReport(show, report -> ConfigurationRows.failureDomains(configuration, report));
            case WITHDRAWALS -> resultWithReport(show, report -> ConfigurationRows.withdrawals(configuration, report));
            case CONFIGURATION ->
                resultWithReport(show, report -> List.of(ConfigurationRows.configurationRow(configuration, report)));
            case ENTRY_VMS ->
                controller
                        .unresponsiveEntryVms()
                        .thenCompose(
                                unresponsive -> resultWithReport(show, report -> entryVmRows(unresponsive, report)));
        };
    }

    private CompletableFuture<CommandResult> resultWithReport(Show show, RowWriter writer) {
        return controller
                .checkPropagation(QUERY_CONFIRMATION_TIMEOUT)
                .thenCompose(report -> completedResult(show, writer.write(report)));
    }

    private CompletableFuture<CommandResult> completedResult(Command command, List<ObjectNode> rows) {
        return CompletableFuture.completedFuture(
                new CommandResult(command.text(), controller.current().version(), rows));
    }

    private List<ObjectNode> entryVmRows(List<EntryVm> unresponsive, PropagationReport report) {
        ImmutableList.Builder<ObjectNode> rows = ImmutableList.builder();
        membership.liveEntryVms().forEach(member -> rows.add(entryVmRow(member, true, report)));
        unresponsive.forEach(member -> rows.add(entryVmRow(member, false, report)));
        return rows.build();
    }

    private ObjectNode entryVmRow(EntryVm member, boolean live, PropagationReport report) {
        String state = live ? (member.leaving() ? "leaving" : "live") : "silent";
        return JsonRows.newRow()
                .put("entryVm", member.name())
                .put("failureDomain", member.failureDomain())
                .put("address", member.peerAddress())
                .put("state", state)
                .put("drained", controller.current().drainedEntryVms().contains(member.name()))
                .put("confirmed", !report.unconfirmedEntryVms().contains(member.name()));
    }

    private CompletableFuture<CommandResult> explain(Explain explain) {
        try {
            return completedResult(explain, routeExplainer.explain(explain));
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    private CompletableFuture<CommandResult> change(ConfigurationChange change, CommandRequest commandRequest) {
        long basedOn =
                commandRequest.basedOnVersion().orElse(controller.current().version());
        ChangeRequest request = new ChangeRequest(commandRequest.commandId(), basedOn, change);
        if (change instanceof WithdrawKey withdrawal) {
            return withdraw(withdrawal, request);
        }
        return controller.changer().change(request).thenCompose(version -> confirm(change, version, true));
    }

    /** Applies a withdrawal before it is written, so that it takes effect also while the platform is unavailable. */
    private CompletableFuture<CommandResult> withdraw(WithdrawKey withdrawal, ChangeRequest request) {
        Optional<String> hash = findLocalHash(withdrawal);
        if (hash.isEmpty()) {
            return controller.changer().change(request).thenCompose(version -> confirm(withdrawal, version, true));
        }
        return controller
                .withdraw(ImmutableSet.of(hash.get()))
                .thenCompose(done -> controller.changer().change(request).handle(this::writtenVersionOrZero))
                .thenCompose(version -> confirm(withdrawal, version, version > 0));
    }

    /** Finds the key's hash in the current configuration; empty if only a newer configuration may contain the key. */
    private Optional<String> findLocalHash(WithdrawKey withdrawal) {
        try {
            return Optional.of(withdrawal.findHash(controller.current()));
        } catch (RefusalException refusal) {
            LOGGER.info(
                    "cannot find the key of '{}' in the current configuration: {}",
                    withdrawal.text(),
                    refusal.getMessage());
            return Optional.empty();
        }
    }

    private long writtenVersionOrZero(@Nullable Long version, @Nullable Throwable failure) {
        if (failure == null && version != null) {
            return version;
        }
        Throwable cause = failure instanceof CompletionException wrapper ? wrapper.getCause() : failure;
        if (cause instanceof RefusalException refusal && refusal.kind() == RefusalKind.PLATFORM_UNAVAILABLE) {
            return 0;
        }
        throw new CompletionException(cause);
    }

    private CompletableFuture<CommandResult> confirm(ConfigurationChange change, long version, boolean written) {
        return controller.checkPropagation(CHANGE_CONFIRMATION_TIMEOUT).thenApply(report -> {
            ObjectNode row = JsonRows.newRow().put("version", version).put("writtenToPlatform", written);
            return new CommandResult(change.text(), version, List.of(ConfigurationRows.addPropagation(row, report)));
        });
    }

    /** Returns the refusal that caused a failure; for other failures one with {@link Execution#UNKNOWN}. */
    static RefusalException toRefusal(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof RefusalException refusal) {
            return refusal;
        }
        LOGGER.error("command failed with an internal fault", cause);
        return RefusalException.builder(RefusalKind.INTERNAL_FAULT)
                .execution(Execution.UNKNOWN)
                .detail("The command failed with " + cause.getClass().getSimpleName() + ".")
                .cause(cause)
                .build();
    }

    /** Writes rows that state on which entry VMs a configuration is in force. */
    @FunctionalInterface
    private interface RowWriter {
        List<ObjectNode> write(PropagationReport report);
    }
}
