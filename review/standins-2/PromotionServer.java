import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The platform's promotion call. It checks no fence, and records what it received. */
final class PromotionServer implements AutoCloseable {
    private final HttpServer2 server;
    private final Map<String, ReplicaGroup> groups;
    private final List<String> calls = new ArrayList<>();

    PromotionServer(Map<String, ReplicaGroup> groups) throws IOException {
        this.groups = groups;
        this.server = new HttpServer2(this::handle);
    }

    String address() {
        return server.address();
    }

    synchronized List<String> calls() {
        return List.copyOf(calls);
    }

    private HttpServer2.Response handle(HttpServer2.Request request) {
        Map<String, Object> body = MiniJson.object(request.body());
        String id = (String) body.get("id");
        synchronized (this) {
            calls.add(request.headers().get("x-lease-holder") + " token " + request.headers().get("x-fencing-token") + " promotes " + id);
        }
        ReplicaGroup group = groups.get((String) body.get("backend"));
        return HttpServer2.Response.of(group == null ? 404 : group.promote(id), "{}");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
