package org.banyanhook.daemon.caller;

import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Fields;

/** Reads the query of a question for an outcome. */
final class OutcomeQueryParser {

    private static final String DATABASE = "database";
    private static final String PARTITION_KEY = "partitionKey";

    private OutcomeQueryParser() {}

    /**
     * Reads the query.
     *
     * @param request the request
     * @return its fields, as if they had come in a body
     * @throws RefusalException of kind {@code MALFORMED_REQUEST} unless it names just one database
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
                RefusalKind.MALFORMED_REQUEST, "The query must have either 'database' or 'partitionKey', once.");
    }
}
