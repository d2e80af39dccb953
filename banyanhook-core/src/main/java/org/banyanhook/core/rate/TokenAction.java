package org.banyanhook.core.rate;

/** An action that an entry VM has to take for requests that need tokens. */
public sealed interface TokenAction {

    /**
     * Request tokens from a peer. The answer is passed back to {@link TokenExchange} with the sequence of the request.
     *
     * @param request the token request
     */
    record RequestTokens(PendingTokenRequests.Request request) implements TokenAction {}

    /**
     * Accept a request.
     *
     * @param requestNumber the number of the request, as given to {@link TokenExchange#acquire}
     */
    record Accept(long requestNumber) implements TokenAction {}

    /**
     * Refuse a request.
     *
     * @param requestNumber the number of the request, as given to {@link TokenExchange#acquire}
     * @param clientAccount the name of the client account
     * @param reason the reason, for the log
     * @param retryAfterNanos the delay after which a token may be available
     */
    record Refuse(long requestNumber, String clientAccount, String reason, long retryAfterNanos)
            implements TokenAction {}
}
