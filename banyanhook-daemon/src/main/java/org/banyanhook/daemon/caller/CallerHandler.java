package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.Refusals;
import org.banyanhook.daemon.execution.RequestGate;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Jetty handler that reads callers' requests, passes them through the filter chain and writes the replies. */
final class CallerHandler extends Handler.Abstract.NonBlocking {

    /** The limit of the total length of all header names and values, in characters. */
    static final int MAXIMUM_HEADER_CHARACTERS = 16 * 1024;

    private static final Logger LOGGER = LogManager.getLogger(CallerHandler.class);
    private static final String NO_ROUTE = "";

    private final ConfigurationSource configuration;
    private final FilterChain chain;
    private final RequestGate requestGate;
    private final MeterRegistry meters;
    private final OutstandingRequests outstandingRequests = new OutstandingRequests();
    private volatile int maximumBodyBytes = CallerBodyParser.DEFAULT_MAXIMUM_BODY_BYTES;
    private volatile Duration defaultDeadline = CallerExchange.DEFAULT_DEADLINE;
    private volatile BooleanSupplier connectionCloseCondition = () -> false;

    CallerHandler(ConfigurationSource configuration, FilterChain chain, RequestGate requestGate, MeterRegistry meters) {
        this.configuration = requireNonNull(configuration, "configuration");
        this.chain = requireNonNull(chain, "chain");
        this.requestGate = requireNonNull(requestGate, "requestGate");
        this.meters = requireNonNull(meters, "meters");
    }

    /** Sets the body limit and the default deadline. Must be called before the first request. */
    void setLimits(int newMaximumBodyBytes, Duration newDefaultDeadline) {
        maximumBodyBytes = newMaximumBodyBytes;
        defaultDeadline = newDefaultDeadline;
    }

    /** Sets a condition under which replies carry {@code Connection: close}; all do once the request gate is closed. */
    void setConnectionCloseCondition(BooleanSupplier condition) {
        connectionCloseCondition = condition;
    }

    /** Replies to all outstanding requests with what is known of them, and refuses further ones as not run. */
    void endService() {
        outstandingRequests.endService();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String requestId = UUID.randomUUID().toString();
        long receivedNanos = System.nanoTime();
        RequestGate.Operation<Void> operation = () -> readAndProcess(request, requestId, receivedNanos)
                .thenCompose(reply -> write(reply, requestId, response));
        CompletableFuture<Void> completion =
                continuesTransaction(request) ? requestGate.runEvenIfClosed(operation) : requestGate.run(operation);
        completion
                .handle((written, failure) -> failure == null
                        ? CompletableFuture.<Void>completedFuture(null)
                        : replyToGateRefusal(failure, requestId, response))
                .thenCompose(step -> step)
                .whenComplete((written, failure) -> {
                    if (failure == null) {
                        callback.succeeded();
                    } else {
                        callback.failed(failure);
                    }
                });
        return true;
    }

    /** Returns whether a request continues a transaction; such requests are admitted even if the gate is closed. */
    private static boolean continuesTransaction(Request request) {
        try {
            return parseTarget(request).operation().continuesTransaction();
        } catch (RefusalException refusal) {
            return false;
        }
    }

    private static CallerTarget parseTarget(Request request) throws RefusalException {
        return CallerTarget.parse(
                request.getMethod(), requireNonNull(request.getHttpURI().getPath(), "path"));
    }

    private CompletableFuture<CallerReply> readAndProcess(Request request, String requestId, long receivedNanos) {
        OutstandingRequest outstanding = outstandingRequests.add(requestId);
        CompletableFuture<CallerReply> unused = Content.Source.asByteArrayAsync(request, maximumBodyBytes)
                .handle((content, failure) -> process(request, requestId, receivedNanos, outstanding, content, failure))
                .thenCompose(reply -> reply)
                .whenComplete((reply, failure) -> complete(outstanding.reply(), reply, failure));
        return outstanding
                .reply()
                .exceptionally(failure -> CallerReplyFactory.problem(Refusals.from(failure), requestId));
    }

    /** Replies to a request that the closed gate refused. Any other failure means that the reply was not written. */
    private CompletableFuture<Void> replyToGateRefusal(Throwable failure, String requestId, Response response) {
        if (!(Refusals.unwrap(failure) instanceof RefusalException refusal)) {
            return CompletableFuture.failedFuture(failure);
        }
        return requestGate.runEvenIfClosed(
                () -> write(CallerReplyFactory.problem(refusal, requestId), requestId, response));
    }

    private static void complete(
            CompletableFuture<CallerReply> target, @Nullable CallerReply reply, @Nullable Throwable failure) {
        if (reply == null) {
            target.completeExceptionally(requireNonNull(failure, "failure"));
        } else {
            target.complete(reply);
        }
    }

    private CompletableFuture<CallerReply> process(
            Request request,
            String requestId,
            long receivedNanos,
            OutstandingRequest outstanding,
            byte @Nullable [] content,
            @Nullable Throwable failure) {
        if (content == null) {
            return CompletableFuture.failedFuture(bodyReadRefusal(failure));
        }
        CallerExchange exchange;
        try {
            exchange = newExchange(request, requestId, receivedNanos, outstanding, content);
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
        return chain.proceed(exchange)
                .whenComplete((reply, processingFailure) -> recordOutcome(exchange, processingFailure, receivedNanos));
    }

    private CallerExchange newExchange(
            Request request, String requestId, long receivedNanos, OutstandingRequest outstanding, byte[] content)
            throws RefusalException {
        CallerTarget target = parseTarget(request);
        CallerBody body = target.operation() == CallerOperation.OUTCOME
                ? OutcomeQueryParser.parse(request)
                : CallerBodyParser.parse(target.operation(), content);
        Long requestedDeadlineMillis = body.deadlineMillis();
        Duration timeout =
                requestedDeadlineMillis == null ? defaultDeadline : Duration.ofMillis(requestedDeadlineMillis);
        return new CallerExchange(
                requestId,
                target,
                parseHeaders(request.getHeaders()),
                body,
                configuration.current(),
                receivedNanos + timeout.toNanos(),
                outstanding);
    }

    private static CallerHeaders parseHeaders(HttpFields fields) throws RefusalException {
        int characters = fields.stream()
                .mapToInt(field -> field.getName().length()
                        + String.valueOf(field.getValue()).length())
                .sum();
        if (characters > MAXIMUM_HEADER_CHARACTERS) {
            throw RefusalException.notRun(
                    RefusalKind.MALFORMED_REQUEST,
                    "The headers have more than " + MAXIMUM_HEADER_CHARACTERS + " characters.");
        }
        for (String name :
                new String[] {HttpHeader.AUTHORIZATION.asString(), CallerHeaders.SESSION, CallerHeaders.IDEMPOTENCY_KEY
                }) {
            if (fields.getValuesList(name).size() > 1) {
                throw RefusalException.notRun(
                        RefusalKind.MALFORMED_REQUEST, "The header " + name + " was sent more than once.");
            }
        }
        return new CallerHeaders(
                fields.get(HttpHeader.AUTHORIZATION),
                fields.get(CallerHeaders.SESSION),
                fields.get(CallerHeaders.IDEMPOTENCY_KEY));
    }

    private RefusalException bodyReadRefusal(@Nullable Throwable failure) {
        Throwable cause = failure == null ? null : Refusals.unwrap(failure);
        if (cause instanceof IOException && !(cause instanceof EOFException)) {
            return RefusalException.notRun(
                    RefusalKind.BODY_TOO_LARGE, "The body has more than " + maximumBodyBytes + " bytes.");
        }
        return RefusalException.notRun(RefusalKind.MALFORMED_REQUEST, "The body could not be read completely.");
    }

    private CompletableFuture<Void> write(CallerReply reply, String requestId, Response response) {
        response.setStatus(reply.status());
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(HttpHeader.CONTENT_TYPE, reply.contentType());
        headers.put(HttpHeader.CONTENT_LENGTH, reply.body().length);
        headers.put(CallerHeaders.REQUEST_ID, requestId);
        for (Map.Entry<String, String> header : reply.headers().entrySet()) {
            headers.put(header.getKey(), header.getValue());
        }
        if (connectionCloseCondition.getAsBoolean() || requestGate.isClosed()) {
            headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        Callback.Completable written = new Callback.Completable();
        response.write(true, ByteBuffer.wrap(reply.body()), written);
        return written;
    }

    private void recordOutcome(CallerExchange exchange, @Nullable Throwable failure, long receivedNanos) {
        String outcome = failure == null ? "ok" : Refusals.from(failure).kind().label();
        String route = exchange.route().map(Route::name).orElse(NO_ROUTE);
        long elapsedNanos = System.nanoTime() - receivedNanos;
        meters.timer("banyanhook.requests", "account", exchange.effectiveAccount(), "route", route, "outcome", outcome)
                .record(elapsedNanos, TimeUnit.NANOSECONDS);
        LOGGER.info(
                "request {} account {} service {} operation {} route {} completed with outcome {} in {} ms",
                exchange.requestId(),
                exchange.effectiveAccount(),
                exchange.serviceName(),
                exchange.operation(),
                route,
                outcome,
                TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
    }
}
