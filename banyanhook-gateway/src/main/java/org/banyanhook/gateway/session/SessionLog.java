package org.banyanhook.gateway.session;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.SessionError;
import org.jspecify.annotations.Nullable;

/** The log lines and counters of what a session refuses or ends. Confined to the event loop. */
final class SessionLog {

    private final SessionContext context;

    SessionLog(SessionContext context) {
        this.context = context;
    }

    void sessionRefused(@Nullable Channel caller, String databaseName, String key, SessionError error) {
        context.metrics().count("sessions.refused", "reason", error.name());
        context.log()
                .line("session-refusal")
                .with("database", databaseName)
                .with("caller", addressOf(caller))
                .with("key", key.isEmpty() ? null : KeyHashes.fingerprint(key))
                .with("outcome", error.name())
                .with("version", context.directory().configuration().version())
                .with("versionAgeMs", context.directory().configurationAgeMillis())
                .write();
    }

    void statementRefused(ClientRequest.Run run, String databaseName, SessionError error, String reason) {
        context.metrics().count("statements", "outcome", error.name());
        context.log()
                .line("refusal")
                .with("request", run.requestId())
                .with("database", databaseName)
                .with("outcome", error.name())
                .with("reason", reason)
                .with("version", context.directory().configuration().version())
                .write();
    }

    void requestRefused(ClientRequest request, String databaseName, String reason) {
        if (request instanceof ClientRequest.Run run) {
            statementRefused(run, databaseName, SessionError.OVERLOADED, reason);
        }
    }

    void transactionRolledBack(OpenTransaction transaction, String databaseName, String reason) {
        context.log()
                .line("transaction")
                .with("account", transaction.account())
                .with("database", databaseName)
                .with("change", "rolled-back")
                .with("reason", reason)
                .write();
    }

    void broken(String databaseName, Throwable cause) {
        context.log()
                .line("session")
                .with("database", databaseName)
                .with("change", "broken")
                .with("reason", cause.toString())
                .write();
    }

    private static @Nullable String addressOf(@Nullable Channel caller) {
        return caller != null && caller.remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress() + ":" + address.getPort()
                : null;
    }
}
