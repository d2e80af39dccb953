package org.banyanhook.gateway.primary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;

/** Answers commands as members would. */
final class ScriptedProbe implements MemberProbe {

    private final Map<String, MemberReport> reports = new HashMap<>();
    private final List<Long> stepDownTerms = new ArrayList<>();
    private boolean obstinate;
    private boolean failing;
    private Runnable beforeStepDown = () -> {};

    void set(String member, boolean primary, long term, LogPosition position) {
        reports.put(member, new MemberReport(primary, term, position));
    }

    void remove(String member) {
        reports.remove(member);
    }

    MemberReport report(String member) {
        return Optional.ofNullable(reports.get(member)).orElseThrow();
    }

    /** Returns the terms of the step-down commands so far. */
    List<Long> stepDownTerms() {
        return stepDownTerms;
    }

    /** Sets whether primaries ignore step-down commands. */
    void obstinate(boolean value) {
        obstinate = value;
    }

    /** Sets what happens once, before the next step-down command is carried out. */
    void beforeStepDown(Runnable action) {
        beforeStepDown = action;
    }

    /** Sets whether an attempt to send a command ends with an exception. */
    void failToSend(boolean value) {
        failing = value;
    }

    @Override
    public CompletableFuture<Optional<MemberReport>> send(
            MemberServer server, MemberCommand command, Duration timeout) {
        if (failing) {
            throw new IllegalStateException("expected by the test");
        }
        if (command instanceof MemberCommand.StepDown stepDown && reports.containsKey(server.name())) {
            stepDownTerms.add(stepDown.term());
            beforeStepDown.run();
            beforeStepDown = () -> {};
            MemberReport before = report(server.name());
            if (!obstinate && stepDown.term() > before.term()) {
                set(server.name(), false, before.term(), before.position());
            }
        }
        return CompletableFuture.completedFuture(Optional.ofNullable(reports.get(server.name())));
    }
}
