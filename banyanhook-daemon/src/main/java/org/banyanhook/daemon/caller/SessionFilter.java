package org.banyanhook.daemon.caller;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.SessionSecret;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.session.SessionToken;
import org.banyanhook.core.session.SessionTokenCodec;
import org.jspecify.annotations.Nullable;

/** Decodes and verifies the session token of each request. A request without a token starts a new session. */
final class SessionFilter implements RequestFilter {

    private volatile @Nullable CachedCodec currentCodec;

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        String account = exchange.account().orElse("");
        String text = exchange.headers().session();
        SessionTokenCodec current = currentCodec(exchange);
        exchange.session(text == null || text.isEmpty() ? SessionToken.start(account) : current.decode(text, account));
        return next.proceed(exchange);
    }

    /**
     * Encodes and signs a session token with the secrets in the configuration of the exchange.
     *
     * @param exchange the request
     * @param session the token
     * @return the encoded token for the caller
     * @throws RefusalException if the configuration has no secret
     */
    String encode(CallerExchange exchange, SessionToken session) throws RefusalException {
        return currentCodec(exchange).encode(session);
    }

    private SessionTokenCodec currentCodec(CallerExchange exchange) throws RefusalException {
        List<SessionSecret> secrets = exchange.configuration().sessionSecrets();
        CachedCodec current = currentCodec;
        if (current == null || !current.secrets().equals(secrets)) {
            current = new CachedCodec(secrets, SessionTokenCodec.create(secrets));
            currentCodec = current;
        }
        return current.codec();
    }

    private record CachedCodec(List<SessionSecret> secrets, SessionTokenCodec codec) {}
}
