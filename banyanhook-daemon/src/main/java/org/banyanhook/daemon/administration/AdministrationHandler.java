package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.banyanhook.core.command.Command;
import org.banyanhook.core.command.CommandParser;
import org.banyanhook.core.command.ConfigurationChange;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.settings.OperatorKey;
import org.banyanhook.daemon.settings.OperatorRole;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles the requests to the administration port. Safe for use by several threads. */
final class AdministrationHandler extends Handler.Abstract {

    private static final String JSON = "application/json";
    private static final String PROBLEM_JSON = "application/problem+json";
    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
    static final int MAXIMUM_BODY_BYTES = 65_536;
    private static final long BODY_TIMEOUT_SECONDS = 10;

    private final CommandBodyCodec bodyCodec = new CommandBodyCodec();
    private final OperatorAuthenticator authenticator;
    private final CommandInterpreter interpreter;
    private final ReadinessProbe readinessProbe;
    private final Supplier<String> metrics;
    private final String version;
    private final LongSupplier configurationVersion;

    AdministrationHandler(AdministrationServer.Builder builder) {
        this.authenticator = new OperatorAuthenticator(builder.settings().operatorKeys());
        this.interpreter = builder.interpreter();
        this.readinessProbe = builder.readiness();
        this.metrics = builder.metrics();
        this.version = builder.version();
        this.configurationVersion = builder.configurationVersion();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        String methodAndPath = request.getMethod() + " " + path;
        switch (methodAndPath) {
            case "GET /health/live" -> write(response, HttpStatus.OK_200, JSON, "{\"live\":true}", callback);
            case "GET /health/ready" -> writeReadiness(response, callback);
            case "GET /metrics" -> write(response, HttpStatus.OK_200, PROMETHEUS_TEXT, metrics.get(), callback);
            case "GET /version" -> write(response, HttpStatus.OK_200, JSON, versionBody(), callback);
            case "POST /v1/commands" -> handleCommand(request, response, callback);
            default -> refuse(response, callback, unknownPath(path));
        }
        return true;
    }

    private void writeReadiness(Response response, Callback callback) {
        List<String> obstacles = readinessProbe.obstacles();
        var body = JsonNodeFactory.instance.objectNode().put("ready", obstacles.isEmpty());
        body.set("obstacles", JsonRows.textArray(obstacles));
        int status = obstacles.isEmpty() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
        write(response, status, JSON, body.toString(), callback);
    }

    private String versionBody() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", version)
                .put("configurationVersion", configurationVersion.getAsLong())
                .toString();
    }

    private void handleCommand(Request request, Response response, Callback callback) {
        OperatorKey operator;
        try {
            operator = authenticator.authenticate(request.getHeaders().get(HttpHeader.AUTHORIZATION));
            requireAllowedLength(request.getLength());
        } catch (RefusalException refusal) {
            refuse(response, callback, refusal);
            return;
        }
        Content.Source.asStringAsync(request, StandardCharsets.UTF_8)
                .orTimeout(BODY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .thenCompose(body -> runCommand(operator, body))
                .whenComplete((result, failure) -> {
                    if (failure != null) {
                        refuse(response, callback, CommandInterpreter.toRefusal(failure));
                    } else {
                        write(response, HttpStatus.OK_200, JSON, bodyCodec.write(result), callback);
                    }
                });
    }

    private CompletableFuture<CommandResult> runCommand(OperatorKey operator, String body) {
        try {
            CommandRequest commandRequest = bodyCodec.parseRequest(body, operator.name());
            Command command = CommandParser.parse(commandRequest.text());
            boolean changes = command instanceof ConfigurationChange;
            OperatorAuthenticator.requireRole(operator, changes ? OperatorRole.OPERATE : OperatorRole.READ);
            return interpreter.run(command, commandRequest);
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    private static void requireAllowedLength(long length) throws RefusalException {
        if (length > MAXIMUM_BODY_BYTES) {
            throw RefusalException.notRun(
                    RefusalKind.BODY_TOO_LARGE,
                    "The body has " + length + " bytes; send at most " + MAXIMUM_BODY_BYTES + ".");
        }
    }

    private void refuse(Response response, Callback callback, RefusalException refusal) {
        String body = bodyCodec.write(refusal, UUID.randomUUID().toString());
        refusal.retryAfter()
                .ifPresent(wait -> response.getHeaders().put(HttpHeader.RETRY_AFTER, Math.max(1, wait.toSeconds())));
        if (refusal.kind().httpStatus() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        write(response, refusal.kind().httpStatus(), PROBLEM_JSON, body, callback);
    }

    private static void write(Response response, int status, String type, String body, Callback callback) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        Content.Sink.write(response, true, body, callback);
    }

    private static RefusalException unknownPath(String path) {
        return RefusalException.notRun(
                RefusalKind.COMMAND_UNKNOWN,
                "There is no resource " + path
                        + "; use GET /health/live, /health/ready, /metrics, /version or POST /v1/commands.");
    }
}
