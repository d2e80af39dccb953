package org.banyanhook.core.rate;

/** What an entry VM has to do for requests that wait for tokens. */
public sealed interface TokenAction {

    /**
     * Ask a peer for tokens. The answer is fed back to {@link TokenExchange} by its sequence.
     *
     * @param request the request
     */
    record RequestTokens(PendingTokenRequests.Request request) implements TokenAction {}

    /**
     * Let a request pass.
     *
     * @param requestNumber the number that the caller gave to the request
     */
    record Accept(long requestNumber) implements TokenAction {}

    /**
     * Refuse a request.
     *
     * @param requestNumber the number that the caller gave to the request
     * @param clientAccount the account
     * @param reason why, for the log line
     * @param retryAfterNanos when a token may be there
     */
    record Refuse(long requestNumber, String clientAccount, String reason, long retryAfterNanos)
            implements TokenAction {}
}
