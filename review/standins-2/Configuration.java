import java.util.ArrayList;
import java.util.List;

/** The text of an operator's configuration with three routes to one service, one of each kind. */
final class Configuration {
    static final String SERVICE = "orders";
    static final String PRIMARY = "order";
    static final String BOUNDED = "lookup";
    static final String OWN_WRITES = "count";

    private Configuration() {}

    /** Returns a configuration with two tenants, each with one key that is "key-" and its name. */
    static String text(int version, int syncReplicas) {
        return text(version, syncReplicas, 0, List.of("parish", "coop"));
    }

    /** Returns a configuration with further routes, in which only some tenants have their key. */
    static String text(int version, int syncReplicas, int furtherRoutes, List<String> tenantsWithKey) {
        List<String> tenants = new ArrayList<>();
        for (String name : List.of("parish", "coop")) {
            String key = tenantsWithKey.contains(name) ? "\"key-" + name + "\"" : "";
            tenants.add("{\"name\":\"" + name + "\",\"api_keys\":[" + key
                    + "],\"priority\":1,\"rate_per_s\":86,\"burst\":86,\"allowed_regions\":[]}");
        }
        StringBuilder further = new StringBuilder();
        for (int number = 0; number < furtherRoutes; number++) {
            further.append(',').append(route("idle" + number, "primary", 1_000, 1, 0));
        }
        return "{\"version\":" + version + ",\"routes\":[" + route(PRIMARY, "primary", 1_000, 1, 0) + ","
                + route(BOUNDED, "bounded_staleness", 2_000, 2, 1_500) + ","
                + route(OWN_WRITES, "read_your_writes", 1_000, 2, 2_500) + further + "],\"backends\":[{\"name\":\"" + SERVICE
                + "\",\"health_check_path\":\"/health\",\"max_conns\":37,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,"
                + "\"warmup_per_s\":0.0,\"sync_replicas\":" + syncReplicas + "}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"idle_tx_ms\":3000},"
                + "\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    private static String route(String database, String type, int timeoutMillis, int priority, int stalenessMillis) {
        return "{\"name\":\"r-" + database + "\",\"host\":\"" + database + "\",\"prefix\":\"/\",\"route_type\":\"" + type
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":600,\"priority\":" + priority + ",\"backend\":\""
                + SERVICE + "\",\"attempts\":2," + (stalenessMillis == 0 ? "" : "\"max_staleness_ms\":" + stalenessMillis + ",")
                + "\"public\":false,\"allowed_regions\":[]}";
    }
}
