package org.banyanhook.daemon.peer;

import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletionException;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.protocol.generated.PeerFailure;

/** Converts refusals to and from their protobuf messages. */
final class PeerFailureCodec {

    private PeerFailureCodec() {}

    /**
     * Converts the failure of a handler to a message.
     *
     * @param failure the cause; a {@link CompletionException} is unwrapped
     * @return the message; a cause that is not a refusal becomes an internal fault with unknown execution
     */
    static PeerFailure toMessage(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof RefusalException refusal) {
            return toMessage(refusal);
        }
        return PeerFailure.newBuilder()
                .setKind(RefusalKind.INTERNAL_FAULT.label())
                .setExecution(Execution.UNKNOWN.label())
                .setDetail(cause.getClass().getSimpleName())
                .build();
    }

    /**
     * Converts a received message to a refusal.
     *
     * @param failure the message; an unrecognized kind becomes an internal fault, an unrecognized execution becomes
     *     unknown
     * @return the refusal; this method does not throw it
     */
    static RefusalException toRefusal(PeerFailure failure) {
        RefusalException.Builder builder = RefusalException.builder(kindOf(failure.getKind()))
                .execution(executionOf(failure.getExecution()))
                .detail(failure.getDetail());
        if (failure.getRetryAfterMillis() > 0) {
            builder.retryAfter(Duration.ofMillis(failure.getRetryAfterMillis()));
        }
        return builder.build();
    }

    private static PeerFailure toMessage(RefusalException refusal) {
        return PeerFailure.newBuilder()
                .setKind(refusal.kind().label())
                .setExecution(refusal.execution().label())
                .setDetail(refusal.detail())
                .setRetryAfterMillis(
                        refusal.retryAfter().map(Duration::toMillis).orElse(0L))
                .build();
    }

    private static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }

    private static RefusalKind kindOf(String label) {
        return Arrays.stream(RefusalKind.values())
                .filter(kind -> kind.label().equals(label))
                .findFirst()
                .orElse(RefusalKind.INTERNAL_FAULT);
    }

    private static Execution executionOf(String label) {
        return Arrays.stream(Execution.values())
                .filter(execution -> execution.label().equals(label))
                .findFirst()
                .orElse(Execution.UNKNOWN);
    }
}
