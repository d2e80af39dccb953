package org.banyanhook.core.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.AppliedCommand;
import org.banyanhook.core.configuration.ConfigurationValidator;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Applies changes to a configuration, once per command id, and detects conflicts with concurrent changes. */
public final class ChangeApplier {

    /**
     * Maximum number of applied commands that a configuration records to detect repeats and conflicts. A change whose
     * base version precedes the recorded commands is refused as a conflict, unless it commutes with every other change.
     */
    public static final int MAXIMUM_RECENT_COMMANDS = 200;

    private ChangeApplier() {}

    /**
     * Applies a change.
     *
     * @param newest the newest configuration
     * @param request the change, with the version on which it is based
     * @return the result, with the changed configuration
     * @throws RefusalException of kind {@link RefusalKind#CONFIGURATION_CONFLICT} if a change made after that version
     *     does not commute with this one or is no longer recorded, or of another kind if the change cannot be applied
     *     to the newest configuration
     */
    public static ChangeResult apply(FleetConfiguration newest, ChangeRequest request) throws RefusalException {
        Optional<AppliedCommand> earlier = findApplied(newest, request);
        if (earlier.isPresent()) {
            return new ChangeResult(newest, earlier.get().version(), true);
        }
        if (!request.change().commutesWithAll()) {
            checkForConflict(newest, request);
        }
        FleetConfiguration changed = request.change().applyTo(newest);
        checkForNewProblems(newest, changed);
        long version = newest.version() + 1;
        FleetConfiguration recorded = changed.toBuilder()
                .version(version)
                .recentCommands(appendRecentCommand(newest.recentCommands(), version, request))
                .build();
        return new ChangeResult(recorded, version, false);
    }

    private static Optional<AppliedCommand> findApplied(FleetConfiguration newest, ChangeRequest request)
            throws RefusalException {
        Optional<AppliedCommand> sameId = newest.recentCommands().stream()
                .filter(command -> command.id().equals(request.commandId()))
                .findFirst();
        if (sameId.isPresent() && !sameId.get().text().equals(request.change().text())) {
            throw conflict("Command id " + request.commandId() + " was already used for '"
                    + sameId.get().text() + "'; use another id.");
        }
        return sameId;
    }

    private static void checkForConflict(FleetConfiguration newest, ChangeRequest request) throws RefusalException {
        Set<Long> unaccountedVersions = new HashSet<>();
        for (long version = request.basedOnVersion() + 1; version <= newest.version(); version++) {
            if (unaccountedVersions.size() > MAXIMUM_RECENT_COMMANDS) {
                break;
            }
            unaccountedVersions.add(version);
        }
        for (AppliedCommand command : newest.recentCommands()) {
            boolean later = command.version() > request.basedOnVersion();
            if (later
                    && !Sets.intersection(command.subjects(), request.change().subjects())
                            .isEmpty()) {
                throw conflict("'" + command.text() + "' created version " + command.version() + " after version "
                        + request.basedOnVersion() + ", on which this command is based.");
            }
            unaccountedVersions.remove(command.version());
        }
        if (!unaccountedVersions.isEmpty()) {
            throw conflict("The command is based on version " + request.basedOnVersion()
                    + ", and the changes up to version " + newest.version() + " are no longer recorded.");
        }
    }

    private static void checkForNewProblems(FleetConfiguration before, FleetConfiguration after)
            throws RefusalException {
        List<String> existingProblems = ConfigurationValidator.problems(before);
        for (String problem : ConfigurationValidator.problems(after)) {
            if (!existingProblems.contains(problem)) {
                throw RefusalException.notRun(RefusalKind.CONFIGURATION_INVALID, problem);
            }
        }
    }

    private static List<AppliedCommand> appendRecentCommand(
            List<AppliedCommand> commands, long version, ChangeRequest request) {
        AppliedCommand added = new AppliedCommand(
                request.commandId(),
                version,
                request.change().text(),
                request.change().subjects());
        int evicted = Math.max(0, commands.size() + 1 - MAXIMUM_RECENT_COMMANDS);
        return ImmutableList.<AppliedCommand>builder()
                .addAll(commands.subList(evicted, commands.size()))
                .add(added)
                .build();
    }

    private static RefusalException conflict(String detail) {
        return RefusalException.notRun(RefusalKind.CONFIGURATION_CONFLICT, detail);
    }
}
