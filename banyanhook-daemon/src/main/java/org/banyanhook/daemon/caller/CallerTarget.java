package org.banyanhook.daemon.caller;

import com.google.common.base.Splitter;
import java.util.List;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.eclipse.jetty.util.URIUtil;

/**
 * The operation, service and resource that the method and path of a request identify.
 *
 * @param operation the requested operation
 * @param service the name of the service
 * @param identifier the id of the transaction or the idempotency key of the outcome, empty for other operations
 */
record CallerTarget(CallerOperation operation, String service, String identifier) {

    private static final Splitter SEGMENT_SPLITTER = Splitter.on('/');
    private static final int MAXIMUM_SEGMENT_CHARACTERS = 255;

    /**
     * Parses the method and path of a request.
     *
     * @param method the HTTP method
     * @param path the percent-encoded path
     * @return the target
     * @throws RefusalException of kind {@code MALFORMED_REQUEST} if no operation has this method and path
     */
    static CallerTarget parse(String method, String path) throws RefusalException {
        List<String> segments = SEGMENT_SPLITTER.splitToList(path);
        boolean hasServicePrefix = segments.size() >= 5
                && segments.get(0).isEmpty()
                && segments.get(1).equals("v1")
                && segments.get(2).equals("services");
        if (!hasServicePrefix) {
            throw unsupportedCall(method);
        }
        String service = decodeSegment(segments.get(3));
        String methodAndResource = method + " " + segments.get(4);
        if (segments.size() == 5) {
            return switch (methodAndResource) {
                case "POST statements" -> new CallerTarget(CallerOperation.STATEMENT, service, "");
                case "POST transactions" -> new CallerTarget(CallerOperation.BEGIN, service, "");
                default -> throw unsupportedCall(method);
            };
        }
        String identifier = decodeSegment(segments.get(5));
        if (segments.size() == 6 && methodAndResource.equals("GET outcomes")) {
            return new CallerTarget(CallerOperation.OUTCOME, service, identifier);
        }
        if (segments.size() == 7 && methodAndResource.equals("POST transactions")) {
            return new CallerTarget(parseTransactionStep(method, segments.get(6)), service, identifier);
        }
        throw unsupportedCall(method);
    }

    private static CallerOperation parseTransactionStep(String method, String step) throws RefusalException {
        return switch (step) {
            case "statements" -> CallerOperation.TRANSACTION_STATEMENT;
            case "commit" -> CallerOperation.COMMIT;
            case "rollback" -> CallerOperation.ROLLBACK;
            default -> throw unsupportedCall(method);
        };
    }

    private static String decodeSegment(String segment) throws RefusalException {
        String decoded = URIUtil.decodePath(segment);
        if (decoded.isEmpty() || decoded.length() > MAXIMUM_SEGMENT_CHARACTERS) {
            throw RefusalException.notRun(
                    RefusalKind.MALFORMED_REQUEST,
                    "A segment of the path is empty or longer than " + MAXIMUM_SEGMENT_CHARACTERS + " characters.");
        }
        return decoded;
    }

    private static RefusalException unsupportedCall(String method) {
        return RefusalException.notRun(
                RefusalKind.MALFORMED_REQUEST,
                "The path does not match an operation of the caller interface with method " + method + ".");
    }
}
