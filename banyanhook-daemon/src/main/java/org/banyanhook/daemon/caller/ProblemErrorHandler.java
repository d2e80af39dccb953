package org.banyanhook.daemon.caller;

import java.nio.ByteBuffer;
import java.util.UUID;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Replies with a problem document where Jetty itself generates the error, for example to invalid HTTP or to headers
 * that are too large.
 */
final class ProblemErrorHandler extends ErrorHandler {

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    @Override
    public boolean errorPageForMethod(String method) {
        return true;
    }

    @Override
    protected void generateResponse(
            Request request,
            Response response,
            int code,
            @Nullable String message,
            @Nullable Throwable cause,
            Callback callback) {
        CallerReply reply = problemReply(code);
        response.setStatus(reply.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, reply.contentType());
        response.write(true, ByteBuffer.wrap(reply.body()), callback);
    }

    @Override
    public ByteBuffer badMessageError(int status, @Nullable String reason, HttpFields.Mutable fields) {
        CallerReply reply = problemReply(status);
        fields.put(HttpHeader.CONTENT_TYPE, reply.contentType());
        return ByteBuffer.wrap(reply.body());
    }

    private static CallerReply problemReply(int code) {
        String requestId = UUID.randomUUID().toString();
        RefusalException refusal = code >= FIRST_SERVER_ERROR_STATUS
                ? RefusalException.builder(RefusalKind.INTERNAL_FAULT)
                        .execution(Execution.UNKNOWN)
                        .detail("The daemon failed with an unexpected error.")
                        .build()
                : RefusalException.notRun(
                        RefusalKind.MALFORMED_REQUEST, "The request is not valid HTTP/1.1 (status " + code + ").");
        return CallerReplyFactory.problem(refusal, requestId);
    }
}
