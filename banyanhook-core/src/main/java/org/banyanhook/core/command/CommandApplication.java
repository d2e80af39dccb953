package org.banyanhook.core.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.AppliedCommand;
import org.banyanhook.core.configuration.ConfigurationChecks;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Applies a change to a configuration, once for each command id, and finds conflicts with changes made meanwhile. */
public final class CommandApplication {

    /** How many applied commands the configuration remembers. */
    public static final int REMEMBERED_COMMANDS = 200;

    private CommandApplication() {}

    /**
     * Applies a change.
     *
     * @param newest the newest configuration
     * @param request the change, with the version that its operator knew
     * @return the configuration after it
     * @throws RefusalException of kind {@link RefusalKind#CONFIGURATION_CONFLICT} if a change after that version does
     *     not commute with this one, or of another kind if the change cannot be made to the newest configuration
     */
    public static ChangeResult apply(FleetConfiguration newest, ChangeRequest request) throws RefusalException {
        Optional<AppliedCommand> earlier = findApplied(newest, request);
        if (earlier.isPresent()) {
            return new ChangeResult(newest, earlier.get().version(), true);
        }
        if (!request.change().commutesWithAll()) {
            failOnConflict(newest, request);
        }
        FleetConfiguration changed = request.change().applyTo(newest);
        failOnNewProblem(newest, changed);
        long version = newest.version() + 1;
        FleetConfiguration recorded = changed.toBuilder()
                .version(version)
                .recentCommands(remember(newest.recentCommands(), version, request))
                .build();
        return new ChangeResult(recorded, version, false);
    }

    private static Optional<AppliedCommand> findApplied(FleetConfiguration newest, ChangeRequest request)
            throws RefusalException {
        Optional<AppliedCommand> sameId = newest.recentCommands().stream()
                .filter(command -> command.id().equals(request.commandId()))
                .findFirst();
        if (sameId.isPresent() && !sameId.get().text().equals(request.change().text())) {
            throw conflict("Command id " + request.commandId() + " already stands for '"
                    + sameId.get().text() + "'; use another id.");
        }
        return sameId;
    }

    private static void failOnConflict(FleetConfiguration newest, ChangeRequest request) throws RefusalException {
        Set<Long> unexplained = new HashSet<>();
        for (long version = request.basedOnVersion() + 1; version <= newest.version(); version++) {
            if (unexplained.size() > REMEMBERED_COMMANDS) {
                break;
            }
            unexplained.add(version);
        }
        for (AppliedCommand command : newest.recentCommands()) {
            boolean later = command.version() > request.basedOnVersion();
            if (later
                    && !Sets.intersection(command.subjects(), request.change().subjects())
                            .isEmpty()) {
                throw conflict("'" + command.text() + "' made version " + command.version() + " after the version "
                        + request.basedOnVersion() + " that this command is based on.");
            }
            unexplained.remove(command.version());
        }
        if (!unexplained.isEmpty()) {
            throw conflict("The command is based on version " + request.basedOnVersion()
                    + ", and what changed up to version " + newest.version() + " is no longer remembered.");
        }
    }

    private static void failOnNewProblem(FleetConfiguration before, FleetConfiguration after) throws RefusalException {
        List<String> known = ConfigurationChecks.problems(before);
        for (String problem : ConfigurationChecks.problems(after)) {
            if (!known.contains(problem)) {
                throw RefusalException.notRun(RefusalKind.CONFIGURATION_INVALID, problem);
            }
        }
    }

    private static List<AppliedCommand> remember(List<AppliedCommand> commands, long version, ChangeRequest request) {
        AppliedCommand added = new AppliedCommand(
                request.commandId(),
                version,
                request.change().text(),
                request.change().subjects());
        int forgotten = Math.max(0, commands.size() + 1 - REMEMBERED_COMMANDS);
        return ImmutableList.<AppliedCommand>builder()
                .addAll(commands.subList(forgotten, commands.size()))
                .add(added)
                .build();
    }

    private static RefusalException conflict(String detail) {
        return RefusalException.notRun(RefusalKind.CONFIGURATION_CONFLICT, detail);
    }
}
