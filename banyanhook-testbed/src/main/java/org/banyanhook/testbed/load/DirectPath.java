package org.banyanhook.testbed.load;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.testbed.fleet.FleetCaller;
import org.banyanhook.testbed.fleet.FleetMember;
import org.banyanhook.testbed.fleet.LocalFleet;
import org.banyanhook.testbed.http.JsonAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Sends statements straight to the primaries of the start, without daemons. Safe for use by several threads.
 *
 * <p>Nothing waits for a majority and nobody learns of a new primary.
 */
final class DirectPath implements ServicePath {

    private final LocalFleet fleet;
    private final Map<String, Target> targets = new HashMap<>();

    private record Target(String address, long term) {}

    private record IdempotencyFields(String account, String key) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Body(
            String answerId,
            long term,
            String statement,
            boolean write,
            @Nullable IdempotencyFields idempotency) {}

    DirectPath(LocalFleet fleet) {
        this.fleet = fleet;
        for (String database : fleet.scenario().databases()) {
            FleetMember primary = fleet.primary(database)
                    .orElseThrow(() -> new IllegalStateException("database " + database + " has no primary"));
            long term = primary.status(fleet.client()).number("term");
            targets.put(database, new Target(primary.proxy().address(), term));
        }
    }

    @Override
    public CompletableFuture<JsonAnswer> send(Request request) {
        Target target = targets.get(request.database());
        if (target == null) {
            throw new IllegalArgumentException("there is no database " + request.database());
        }
        String account = fleet.scenario().accounts().get(request.account()).name();
        IdempotencyFields idempotency =
                request.idempotencyKey() == null ? null : new IdempotencyFields(account, request.idempotencyKey());
        Body body = new Body("direct", target.term(), request.statement(), request.write(), idempotency);
        return fleet.client()
                .call(target.address(), "POST", "/statements", body, Map.of())
                .exceptionally(FleetCaller::unreachable);
    }
}
