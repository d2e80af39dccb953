import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The service and the configuration of a small deployment. */
final class Setup {

    static final String SERVICE = "huvo11a";
    static final String PRIMARY = "lepu270";
    static final String OWN = "fiti832ti23";
    static final List<String> MEMBERS = List.of("i-1a", "i-2b", "i-3c");

    private Setup() {}

    /** Returns the zone of each member; the first one is the primary. */
    static Map<String, String> members(String... zones) {
        Map<String, String> members = new LinkedHashMap<>();
        for (int number = 0; number < zones.length; number++) {
            members.put(MEMBERS.get(number), zones[number]);
        }
        return members;
    }

    /** Writes a configuration with the routes of the service; returns its revision. */
    static long configure(Store store, int version, int synchronousReplicas) {
        String routes = route("r-e9itf", PRIMARY, "primary", 1_000, 0) + ','
                + route("r-8jmxwj", OWN, "read_your_writes", 1_000, 2_500);
        return store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"backends\":[{\"name\":\"" + SERVICE
                        + "\",\"health_check_path\":\"/health\",\"max_conns\":37,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"warmup_s\":0.0,\"warmup_per_s\":0.0,\"sync_replicas\":" + synchronousReplicas
                        + "}],\"limits\":{\"idle_tx_ms\":3000},\"tenants\":[{\"name\":\"nypu920\",\"api_keys\":[\""
                        + Fleet.KEY + "\"],\"priority\":1,\"rate_per_s\":400,\"burst\":400,\"allowed_regions\":[]}]}");
    }

    private static String route(String name, String host, String type, int timeoutMillis, int stalenessMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"prefix\":\"/\",\"route_type\":\"" + type
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":600,\"priority\":1,\"backend\":\""
                + SERVICE + "\",\"attempts\":2,"
                + (stalenessMillis > 0 ? "\"max_staleness_ms\":" + stalenessMillis + "," : "")
                + "\"public\":false,\"allowed_regions\":[]}";
    }
}
