package org.banyanhook.daemon.caller;

import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Fields;

/** Parses the query string of a request for a recorded outcome. */
final class OutcomeQueryParser {

    private static final String DATABASE = "database";
    private static final String PARTITION_KEY = "partitionKey";

    private OutcomeQueryParser() {}

    /**
     * Parses the query string.
     *
     * @param request the request
     * @return the parsed fields, in the form of a request body
     * @throws RefusalException of kind {@code MALFORMED_REQUEST} unless the query names exactly one database or
     *     partition key
     */
    static CallerBody parse(Request request) throws RefusalException {
        Fields fields;
        try {
            fields = Request.extractQueryParameters(request);
        } catch (IllegalArgumentException exception) {
            throw malformedRequest();
        }
        boolean namesOneDatabase = fields.getSize() == 1
                && (fields.get(DATABASE) != null || fields.get(PARTITION_KEY) != null)
                && fields.iterator().next().getValues().size() == 1;
        if (!namesOneDatabase) {
            throw malformedRequest();
        }
        return new CallerBody(null, fields.getValue(DATABASE), fields.getValue(PARTITION_KEY), null, null);
    }

    private static RefusalException malformedRequest() {
        return RefusalException.notRun(
                RefusalKind.MALFORMED_REQUEST,
                "The query must have exactly one parameter, 'database' or 'partitionKey'.");
    }
}
