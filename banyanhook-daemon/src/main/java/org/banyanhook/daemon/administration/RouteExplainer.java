package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.banyanhook.core.command.Explain;
import org.banyanhook.core.error.RefusalException;

/** Tells how a request would be treated now. Must be safe for use by several threads and not block. */
@FunctionalInterface
public interface RouteExplainer {
    /**
     * Explains a request.
     *
     * @param query the service, route and what else is known of the request
     * @return one row for each decision, in order
     * @throws RefusalException if the request would be refused for what the query names
     */
    List<ObjectNode> explain(Explain query) throws RefusalException;
}
