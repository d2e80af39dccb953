package org.banyanhook.daemon.caller;

import com.google.common.base.Splitter;
import java.util.List;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.eclipse.jetty.util.URIUtil;

/**
 * What the path of a request names.
 *
 * @param operation what the caller asks for
 * @param service the name of the service
 * @param identifier the id of the transaction or the idempotency key of the outcome, empty for other operations
 */
record CallerTarget(CallerOperation operation, String service, String identifier) {

    private static final Splitter SEGMENTS = Splitter.on('/');
    private static final int MAXIMUM_IDENTIFIER_LENGTH = 255;

    /**
     * Reads the method and path of a request.
     *
     * @param method the HTTP method
     * @param path the path as sent, still percent-encoded
     * @return the target
     * @throws RefusalException of kind {@code MALFORMED_REQUEST} if the interface has no such call
     */
    static CallerTarget parse(String method, String path) throws RefusalException {
        List<String> segments = SEGMENTS.splitToList(path);
        boolean known = segments.size() >= 5
                && segments.get(0).isEmpty()
                && segments.get(1).equals("v1")
                && segments.get(2).equals("services");
        if (!known) {
            throw unknown(method);
        }
        String service = decode(segments.get(3));
        String tail = method + " " + segments.get(4);
        if (segments.size() == 5) {
            return switch (tail) {
                case "POST statements" -> new CallerTarget(CallerOperation.STATEMENT, service, "");
                case "POST transactions" -> new CallerTarget(CallerOperation.BEGIN, service, "");
                default -> throw unknown(method);
            };
        }
        String identifier = decode(segments.get(5));
        if (segments.size() == 6 && tail.equals("GET outcomes")) {
            return new CallerTarget(CallerOperation.OUTCOME, service, identifier);
        }
        if (segments.size() == 7 && tail.equals("POST transactions")) {
            return new CallerTarget(transactionStep(method, segments.get(6)), service, identifier);
        }
        throw unknown(method);
    }

    private static CallerOperation transactionStep(String method, String step) throws RefusalException {
        return switch (step) {
            case "statements" -> CallerOperation.TRANSACTION_STATEMENT;
            case "commit" -> CallerOperation.COMMIT;
            case "rollback" -> CallerOperation.ROLLBACK;
            default -> throw unknown(method);
        };
    }

    private static String decode(String segment) throws RefusalException {
        String decoded = URIUtil.decodePath(segment);
        if (decoded.isEmpty() || decoded.length() > MAXIMUM_IDENTIFIER_LENGTH) {
            throw RefusalException.notRun(
                    RefusalKind.MALFORMED_REQUEST,
                    "A segment of the path is empty or longer than " + MAXIMUM_IDENTIFIER_LENGTH + " characters.");
        }
        return decoded;
    }

    private static RefusalException unknown(String method) {
        return RefusalException.notRun(
                RefusalKind.MALFORMED_REQUEST, "The callers' interface has no such call with method " + method + ".");
    }
}
