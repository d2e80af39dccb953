package org.banyanhook.gateway.home;

import java.util.List;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.banyanhook.protocol.generated.HomeAnswer;
import org.banyanhook.protocol.generated.HomeCommand;
import org.banyanhook.protocol.generated.Position;
import org.jspecify.annotations.Nullable;

/** Converts commands and answers to and from the messages between a daemon and a home. */
final class HomeMessages {

    private HomeMessages() {}

    /**
     * Converts a command.
     *
     * @param command the command; one that changes the session state is not sent to the home
     * @param prepared the statement that EXECUTE runs, or null
     */
    static HomeCommand toMessage(MemberCommand command, @Nullable PreparedShape prepared) {
        HomeCommand.Builder message = HomeCommand.newBuilder();
        if (command instanceof MemberCommand.PassOn passOn) {
            message.setRequestId(passOn.requestId());
            setPosition(message, passOn.minimumPosition());
            setStatement(message, passOn.statement());
        } else if (command instanceof MemberCommand.Own own) {
            setPosition(message, own.minimumPosition());
            setStatement(message, own.statement());
        } else {
            throw new IllegalArgumentException("a home does not run " + command);
        }
        if (prepared != null) {
            message.setPreparedText(prepared.text()).setPreparedWrites(prepared.writes());
        }
        return message.build();
    }

    private static void setPosition(HomeCommand.Builder message, @Nullable LogPosition position) {
        if (position != null) {
            message.setMinimumPosition(toMessage(position));
        }
    }

    private static void setStatement(HomeCommand.Builder message, SessionStatement statement) {
        message.setArguments(statement.arguments()).setKind(kind(statement));
    }

    private static HomeCommand.Kind kind(SessionStatement statement) {
        if (statement instanceof SessionStatement.Read) {
            return HomeCommand.Kind.READ;
        } else if (statement instanceof SessionStatement.Write) {
            return HomeCommand.Kind.WRITE;
        } else if (statement instanceof SessionStatement.Execute) {
            return HomeCommand.Kind.EXECUTE;
        } else if (statement instanceof SessionStatement.Commit) {
            return HomeCommand.Kind.COMMIT;
        } else if (statement instanceof SessionStatement.Begin begin) {
            return begin.readOnly() ? HomeCommand.Kind.BEGIN_READ_ONLY : HomeCommand.Kind.BEGIN;
        } else if (statement instanceof SessionStatement.Rollback) {
            return HomeCommand.Kind.ROLLBACK;
        }
        throw new IllegalArgumentException("a home does not run " + statement);
    }

    /**
     * Converts a received command.
     *
     * @param message the message
     * @param preparedName the name of the prepared statement on the connection, for EXECUTE
     * @throws IllegalArgumentException if the kind is not known
     */
    static MemberCommand toCommand(HomeCommand message, String preparedName) {
        LogPosition position = message.hasMinimumPosition() ? toPosition(message.getMinimumPosition()) : null;
        return switch (message.getKind()) {
            case READ -> passOn(message, new SessionStatement.Read(message.getArguments()), position);
            case WRITE -> passOn(message, new SessionStatement.Write(message.getArguments()), position);
            case EXECUTE ->
                passOn(message, new SessionStatement.Execute(preparedName, message.getArguments()), position);
            case COMMIT -> passOn(message, new SessionStatement.Commit(), position);
            case BEGIN -> new MemberCommand.Own(new SessionStatement.Begin(false), position);
            case BEGIN_READ_ONLY -> new MemberCommand.Own(new SessionStatement.Begin(true), position);
            case ROLLBACK -> new MemberCommand.Own(new SessionStatement.Rollback(), position);
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown kind of command");
        };
    }

    private static MemberCommand passOn(
            HomeCommand message, SessionStatement statement, @Nullable LogPosition position) {
        return new MemberCommand.PassOn(message.getRequestId(), statement, position);
    }

    /** Returns the prepared statement that a command runs. */
    static PreparedShape preparedShape(HomeCommand message) {
        return new PreparedShape(message.getPreparedWrites(), message.getPreparedText());
    }

    /** Returns whether a command may have effects that last. */
    static boolean writes(HomeCommand message) {
        return switch (message.getKind()) {
            case WRITE, COMMIT -> true;
            case EXECUTE -> message.getPreparedWrites();
            default -> false;
        };
    }

    /** Converts an answer. */
    static HomeAnswer toMessage(MemberAnswer answer) {
        HomeAnswer.Builder message = HomeAnswer.newBuilder()
                .addAllRows(answer.rows())
                .setDetail(answer.detail())
                .setState(answer.state().name());
        if (answer.signature() != null) {
            message.setSignature(answer.signature());
        }
        if (answer.error() != null) {
            message.setError(answer.error().name());
        }
        if (answer.position() != null) {
            message.setPosition(toMessage(answer.position()));
        }
        return message.build();
    }

    /** Converts a received answer. An error that is not known says nothing of the effect. */
    static MemberAnswer toAnswer(HomeAnswer message) {
        return new MemberAnswer(
                message.getRowsList(),
                message.hasSignature() ? message.getSignature() : null,
                message.getError().isEmpty()
                        ? null
                        : find(SessionError.values(), message.getError(), SessionError.OUTCOME_UNKNOWN),
                message.getDetail(),
                find(TransactionState.values(), message.getState(), TransactionState.FAILED),
                message.hasPosition() ? toPosition(message.getPosition()) : null);
    }

    private static <T extends Enum<T>> T find(T[] values, String name, T fallback) {
        return List.of(values).stream()
                .filter(value -> value.name().equals(name))
                .findFirst()
                .orElse(fallback);
    }

    /** Returns an answer that a member did not send. */
    static MemberAnswer ownAnswer(@Nullable SessionError error, String detail) {
        return new MemberAnswer(List.of(), null, error, detail, TransactionState.IDLE, null);
    }

    private static Position toMessage(LogPosition position) {
        return Position.newBuilder()
                .setTerm(position.term())
                .setPosition(position.position())
                .build();
    }

    private static LogPosition toPosition(Position message) {
        return new LogPosition(message.getTerm(), message.getPosition());
    }
}
