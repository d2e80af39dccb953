package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.banyanhook.core.command.Explain;
import org.banyanhook.core.error.RefusalException;

/** Explains how a request would be handled. Implementations must be safe for use by several threads and not block. */
@FunctionalInterface
public interface RouteExplainer {
    /**
     * Explains a request.
     *
     * @param query the service, the route and other properties of the request
     * @return one row for each decision, in the order in which they are made
     * @throws RefusalException if the request would be refused because of a value in the query
     */
    List<ObjectNode> explain(Explain query) throws RefusalException;
}
