package org.banyanhook.gateway;

import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberRows;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.TransactionState;
import org.jspecify.annotations.Nullable;

/** A member whose connections are embedded channels. The test decides when a command runs and when it is answered. */
public final class ScriptedMember {

    private final String name;
    private final List<Link> links = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private boolean primary = true;
    private long ledTerm = 1;
    private LogPosition position = new LogPosition(1, 1);
    private int transactions;

    /**
     * A statement of a caller that ran.
     *
     * @param requestId the request
     * @param link the connection
     * @param transaction the number of the transaction on this member, 0 if it ran outside of one
     * @param statement the statement
     */
    public record Run(String requestId, Link link, int transaction, SessionStatement statement) {}

    ScriptedMember(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    /** Sets the role, the term and the last position that the member reports. */
    public void report(boolean isPrimary, long term, LogPosition lastPosition) {
        primary = isPrimary;
        ledTerm = term;
        position = lastPosition;
    }

    public boolean isPrimary() {
        return primary;
    }

    public List<Link> links() {
        return links;
    }

    public List<Run> runs() {
        return runs;
    }

    /** Returns the request identifiers of the transactions that were committed and of the writes outside of one. */
    public List<Run> committed() {
        List<Run> committed = new ArrayList<>();
        for (Run run : runs) {
            boolean ended = run.transaction() == 0
                    || runs.stream()
                            .anyMatch(other -> other.transaction() == run.transaction()
                                    && other.statement() instanceof SessionStatement.Commit);
            if (ended && run.statement() instanceof SessionStatement.Write) {
                committed.add(run);
            }
        }
        return committed;
    }

    void connect(ChannelHandler handler, Consumer<String> onFailure) {
        Link link = new Link();
        links.add(link);
        link.open(handler);
    }

    /** Runs and answers everything that was sent, on all open connections, until nothing is left. */
    public void answerAll() {
        boolean progress = true;
        while (progress) {
            progress = false;
            for (Link link : List.copyOf(links)) {
                while (link.run()) {
                    progress = true;
                }
                while (link.answer()) {
                    progress = true;
                }
            }
        }
    }

    /** A connection to the member. */
    public final class Link {
        private final Deque<MemberAnswer> answers = new ArrayDeque<>();
        private EmbeddedChannel channel = new EmbeddedChannel();
        private int transaction;
        private boolean silent;
        private boolean closedByMember;

        private void open(ChannelHandler handler) {
            channel = new EmbeddedChannel(handler);
        }

        public boolean isOpen() {
            return channel.isActive();
        }

        /** Makes the connection lose everything in both directions from now on. */
        public void silence() {
            silent = true;
        }

        /** Runs the oldest command that has arrived; returns whether there was one. */
        public boolean run() {
            if (silent || closedByMember) {
                return false;
            }
            MemberCommand command = channel.readOutbound();
            if (command == null) {
                return false;
            }
            execute(command);
            return true;
        }

        /** Delivers the oldest answer; returns whether there was one. */
        public boolean answer() {
            MemberAnswer answer = answers.peek();
            if (silent || answer == null || !channel.isActive()) {
                return false;
            }
            answers.poll();
            channel.writeInbound(answer);
            return true;
        }

        /** Sends rows of the answer to the oldest command, which is not complete yet. */
        public void sendRows(List<String> rows) {
            channel.writeInbound(new MemberRows(rows));
        }

        /** Returns whether the gateway reads from the connection. */
        public boolean isRead() {
            return channel.config().isAutoRead();
        }

        /** Answers the oldest command with an error instead of running it; returns whether there was one. */
        public boolean refuse(SessionError error) {
            if (silent || !channel.isActive() || !answers.isEmpty()) {
                return false;
            }
            MemberCommand command = channel.readOutbound();
            if (command == null) {
                return false;
            }
            channel.writeInbound(new MemberAnswer(List.of(), null, error, "refused by the test", state(), position));
            return true;
        }

        /** Closes the connection; an open transaction is rolled back, and what has not run never runs. */
        public void close() {
            transaction = 0;
            closedByMember = true;
            channel.close();
        }

        private void execute(MemberCommand command) {
            if (command instanceof MemberCommand.PassOn passOn) {
                runs.add(new Run(passOn.requestId(), this, transaction, passOn.statement()));
                boolean commit = passOn.statement() instanceof SessionStatement.Commit;
                transaction = commit ? 0 : transaction;
                answer(List.of(), "signature");
            } else if (command instanceof MemberCommand.Own own) {
                if (own.statement() instanceof SessionStatement.Begin) {
                    transaction = ++transactions;
                } else if (own.statement() instanceof SessionStatement.Rollback) {
                    transaction = 0;
                }
                answer(List.of(), null);
            } else if (command instanceof MemberCommand.StepDown stepDown) {
                primary = primary && stepDown.term() <= ledTerm;
                answer(List.of(status()), null);
            } else if (command instanceof MemberCommand.Status) {
                answer(List.of(status()), null);
            } else if (!(command instanceof MemberCommand.Terminate)) {
                answer(List.of(), null);
            }
        }

        private String status() {
            return (primary ? "primary " : "replica ") + ledTerm + ' ' + position.term() + ' ' + position.position();
        }

        private void answer(List<String> rows, @Nullable String signature) {
            answers.add(new MemberAnswer(rows, signature, null, "", state(), position));
        }

        private TransactionState state() {
            return transaction == 0 ? TransactionState.IDLE : TransactionState.OPEN;
        }
    }
}
