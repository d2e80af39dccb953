package org.banyanhook.testbed.http;

import java.util.concurrent.CompletableFuture;

/** Answers the requests of a {@link JsonHttpServer}. */
@FunctionalInterface
public interface JsonHandler {
    /**
     * Answers one request.
     *
     * @param request the request, its body read whole
     * @return the reply, now or later
     * @throws MalformedRequestException if the request does not match the interface; answered with 400
     */
    CompletableFuture<JsonReply> handle(JsonRequest request) throws MalformedRequestException;
}
