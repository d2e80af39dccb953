package org.banyanhook.gateway.home;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.gateway.backend.MemberTransport;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.protocol.generated.HomeAnswer;
import org.banyanhook.protocol.generated.HomeAnswers;
import org.banyanhook.protocol.generated.HomeCommand;
import org.banyanhook.protocol.generated.HomeCommands;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Sends the commands of one statement or transaction to a home, which runs them on a connection that it leases for
 * them. Commands that change the session state are not sent: each message carries the state, and the home applies it.
 * Confined to the event loop.
 */
final class HomeTransport implements MemberTransport {

    /** Exceeds how long a member may work on a statement; the caller's time-out ends a statement earlier. */
    static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);

    /** How much earlier than the caller's time-out the home gives up waiting, so that its refusal arrives in time. */
    private static final long REFUSAL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private static final String NOT_SENT = "the home could not be reached; nothing was sent to the member";

    private final HomeLink link;
    private final HomeCommands terms;
    private final long deadlineNanos;
    private final Receiver receiver;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final Map<String, String> sessionValues = new LinkedHashMap<>();
    private final Map<String, PreparedShape> preparedStatements = new HashMap<>();
    private final Runnable failureListener = this::onLinkFailed;
    private List<MemberCommand> unsent = new ArrayList<>();
    private boolean first = true;
    private boolean heldAtHome;
    private boolean repeatable = true;
    private int outstanding;
    private long memberNanos;
    private boolean closed;

    /**
     * Creates a transport.
     *
     * @param link the link to the home
     * @param terms what stays the same in each message
     * @param deadlineNanos until when the caller waits
     * @param receiver receives the answers
     * @param eventLoop the event loop on which they are received
     * @param clock the monotonic clock
     */
    HomeTransport(
            HomeLink link,
            HomeCommands terms,
            long deadlineNanos,
            Receiver receiver,
            EventLoop eventLoop,
            MonotonicClock clock) {
        this.link = link;
        this.terms = terms;
        this.deadlineNanos = deadlineNanos;
        this.receiver = receiver;
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    @Override
    public void write(MemberCommand command) {
        unsent.add(command);
    }

    @Override
    public void flush() {
        List<MemberCommand> batch = unsent;
        if (closed || batch.isEmpty()) {
            return;
        }
        unsent = new ArrayList<>();
        List<HomeCommand> commands = new ArrayList<>();
        for (MemberCommand command : batch) {
            if (!applyToSessionState(command)) {
                commands.add(HomeMessages.toMessage(command, preparedStatement(command)));
            }
        }
        if (commands.isEmpty() || (!first && !heldAtHome)) {
            // Without a lease there is no transaction that could be rolled back.
            batch.forEach(command -> receiver.onAnswer(HomeMessages.ownAnswer(null, "")));
            return;
        }
        boolean acquires = first;
        first = false;
        outstanding++;
        boolean alone = acquires && commands.size() == 1;
        boolean unrepeatableWrite = alone && HomeMessages.writes(commands.get(0));
        repeatable = acquires && !unrepeatableWrite;
        boolean clockKnown = link.toHomeClock(deadlineNanos).isPresent();
        if (acquires && (!clockKnown || (unrepeatableWrite && !link.isVerified()))) {
            var unused = link.probe().thenAccept(answered -> {
                if (answered) {
                    send(batch, commands, true);
                } else {
                    refuse(batch, SessionError.HOME_REFUSED, NOT_SENT);
                }
            });
            return;
        }
        send(batch, commands, acquires);
        boolean unused = link.probeIfSilent();
    }

    /** Keeps a change of the session state; returns whether the command was one. */
    private boolean applyToSessionState(MemberCommand command) {
        if (command instanceof MemberCommand.Discard) {
            sessionValues.clear();
            return true;
        }
        if (command instanceof MemberCommand.Own own) {
            if (own.statement() instanceof SessionStatement.SetValue set) {
                sessionValues.put(set.name(), set.value());
                return true;
            }
            if (own.statement() instanceof SessionStatement.Prepare prepare) {
                preparedStatements.put(prepare.name(), prepare.statement());
                return true;
            }
        }
        return false;
    }

    private @Nullable PreparedShape preparedStatement(MemberCommand command) {
        return command instanceof MemberCommand.PassOn passOn
                        && passOn.statement() instanceof SessionStatement.Execute execute
                ? preparedStatements.get(execute.name())
                : null;
    }

    private void send(List<MemberCommand> batch, List<HomeCommand> commands, boolean acquires) {
        OptionalLong homeDeadline = link.toHomeClock(deadlineNanos - REFUSAL_MARGIN_NANOS);
        if (closed || (acquires && homeDeadline.isEmpty())) {
            refuse(batch, SessionError.HOME_REFUSED, NOT_SENT);
            return;
        }
        HomeCommands message = terms.toBuilder()
                .setFirst(acquires)
                .setHomeIncarnation(link.incarnation())
                .setDeadlineNanos(homeDeadline.orElse(0))
                .putAllSessionValues(sessionValues)
                .addAllCommands(commands)
                .build();
        link.addFailureListener(failureListener);
        var unused = link.send(message, ANSWER_TIMEOUT)
                .whenCompleteAsync((reply, failure) -> onReply(batch, reply, failure), eventLoop);
    }

    private void onReply(List<MemberCommand> batch, @Nullable PeerEnvelope reply, @Nullable Throwable failure) {
        link.removeFailureListener(failureListener);
        outstanding--;
        if (reply != null && reply.hasHomeAnswers()) {
            link.recordAnswer(
                    reply.getHomeAnswers().getIncarnation(),
                    reply.getHomeAnswers().getClockNanos());
            if (!closed) {
                deliver(batch, reply.getHomeAnswers());
            }
        } else if (!closed) {
            onNoReply(batch, failure);
        }
    }

    private void onNoReply(List<MemberCommand> batch, @Nullable Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        boolean notSent = cause instanceof PeerException exception && !exception.maybeSent();
        if (notSent) {
            boolean inTransaction = heldAtHome;
            if (inTransaction) {
                link.endLease(terms.getIncarnation(), terms.getLease());
            }
            outstanding++;
            refuse(batch, inTransaction ? SessionError.TRANSACTION_ABORTED : SessionError.HOME_REFUSED, NOT_SENT);
        } else {
            lose("no answer of the home: " + cause);
        }
        link.recordFailure();
    }

    /** Answers that nothing came of the commands. */
    private void refuse(List<MemberCommand> batch, SessionError error, String detail) {
        outstanding--;
        heldAtHome = false;
        for (MemberCommand command : batch) {
            if (closed) {
                return;
            }
            receiver.onAnswer(HomeMessages.ownAnswer(isSessionState(command) ? null : error, detail));
        }
    }

    private void deliver(List<MemberCommand> batch, HomeAnswers answers) {
        if (answers.getRefused()) {
            outstanding++;
            if (answers.getTooLarge()) {
                refuse(batch, SessionError.HOME_ANSWER_TOO_LARGE, answers.getDetail());
            } else {
                link.recordRefusal(terms.getMember());
                refuse(batch, SessionError.HOME_REFUSED, answers.getDetail());
            }
            return;
        }
        memberNanos = TimeUnit.MICROSECONDS.toNanos(answers.getMemberMicros());
        List<HomeAnswer> received = answers.getAnswersList();
        heldAtHome = !received.isEmpty()
                && !received.get(received.size() - 1).getState().equals(TransactionState.IDLE.name());
        int next = 0;
        for (MemberCommand command : batch) {
            if (closed) {
                return;
            }
            if (isSessionState(command)) {
                receiver.onAnswer(HomeMessages.ownAnswer(null, ""));
            } else if (next < received.size()) {
                MemberAnswer answer = HomeMessages.toAnswer(received.get(next));
                next++;
                receiver.onAnswer(answer);
            } else {
                heldAtHome = false;
                lose("the home lost its connection to the member");
            }
        }
    }

    private static boolean isSessionState(MemberCommand command) {
        return command instanceof MemberCommand.Discard
                || (command instanceof MemberCommand.Own own
                        && (own.statement() instanceof SessionStatement.SetValue
                                || own.statement() instanceof SessionStatement.Prepare));
    }

    /** Gives up reads that wait for a home that cannot be reached; they are run elsewhere. */
    private void onLinkFailed() {
        if (repeatable && !closed) {
            lose("the home did not answer a probe");
        }
    }

    private void lose(String reason) {
        if (!closed) {
            close(true);
            receiver.onLost(reason);
        }
    }

    @Override
    public void reading(boolean value) {
        // The home sends whole answers of bounded size.
    }

    @Override
    public long memberLatencyNanos(long elapsedNanos) {
        return memberNanos;
    }

    @Override
    public void close(boolean abandonsCommands) {
        if (closed) {
            return;
        }
        closed = true;
        link.removeFailureListener(failureListener);
        if (heldAtHome || outstanding > 0) {
            link.endLease(terms.getIncarnation(), terms.getLease());
        }
    }
}
