package org.banyanhook.testbed.backend;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.testbed.http.ClientConnection;
import org.banyanhook.testbed.http.ErrorBody;
import org.banyanhook.testbed.http.JsonClient;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;
import org.banyanhook.testbed.http.MalformedRequestException;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in of one backend server: a member of a database group with a term, a log and asynchronous replication.
 *
 * <p>Its state lasts as long as the object. A member that starts again has lost what it held, as a real one with a disk
 * would not, so start no member again under the same name. Safe for use by several threads.
 */
public final class BackendServerStandIn implements AutoCloseable {

    private static final String CONTROL_PREFIX = "/stand-in/";

    private final Closer closer = Closer.create();
    private final ReceivedRequests received = new ReceivedRequests();
    private final BackendFaults faults = new BackendFaults();
    private final MemberState state;
    private final MemberCalls calls;
    private final JsonHttpServer server;

    private BackendServerStandIn(Builder builder) {
        faults.apply(builder.initialFaults);
        state = new MemberState(builder.member);
        JsonClient client = new JsonClient();
        closer.register(client::close);
        Replicator replicator = new Replicator(builder.member, state, faults, client);
        closer.register(replicator::close);
        calls = new MemberCalls(builder, state, faults, replicator);
        server = JsonHttpServer.start(builder.member, builder.port, this::handle, this::record);
        closer.register(server::close);
    }

    /**
     * Starts the description of a member.
     *
     * @param database the name of its database
     * @param member the name of the backend server
     * @return a new builder
     */
    public static Builder builder(String database, String member) {
        return new Builder(database, member);
    }

    /** Returns the bound IP number and port. */
    public String address() {
        return server.address();
    }

    /** Changes the faults and costs that the member plays. */
    public void changeFaults(BackendFaults.Change change) {
        changeFaults(change, null);
    }

    /** Returns the latest requests received, headers and body, without those of the stand-in's control. */
    public List<String> received() {
        return received.all();
    }

    @Override
    public void close() {
        try {
            closer.close();
        } catch (IOException exception) {
            throw new IllegalStateException("cannot stop the backend server stand-in", exception);
        }
    }

    private void changeFaults(BackendFaults.Change change, @Nullable ClientConnection control) {
        faults.apply(change);
        if (faults.isolated()) {
            server.closeConnections(control);
        }
    }

    private void record(String request) {
        if (!request.contains(CONTROL_PREFIX)) {
            received.add(request);
        }
    }

    private CompletableFuture<JsonReply> handle(JsonRequest request) throws MalformedRequestException {
        if (request.rawPath().startsWith(CONTROL_PREFIX)) {
            return CompletableFuture.completedFuture(control(request));
        }
        if (faults.isolated()) {
            return CompletableFuture.completedFuture(JsonReply.DROPPED);
        }
        if (faults.thawed().isDone()) {
            return finish(calls.answer(request));
        }
        return finish(faults.thawed().thenCompose(thawed -> answerLater(request)));
    }

    private CompletableFuture<JsonReply> answerLater(JsonRequest request) {
        try {
            return calls.answer(request);
        } catch (MalformedRequestException exception) {
            ErrorBody body = new ErrorBody("malformed-request", null, exception.getMessage());
            return CompletableFuture.completedFuture(JsonReply.of(400, body));
        }
    }

    private CompletableFuture<JsonReply> finish(CompletableFuture<JsonReply> answer) {
        return answer.thenCompose(
                reply -> faults.thawed().thenApply(thawed -> faults.isolated() ? JsonReply.DROPPED : reply));
    }

    private JsonReply control(JsonRequest request) throws MalformedRequestException {
        switch (request.route()) {
            case "GET /stand-in/received":
                return JsonReply.ok(received());
            case "GET /stand-in/log":
                return JsonReply.ok(state.entries());
            case "GET /stand-in/status":
                return JsonReply.ok(calls.status());
            case "POST /stand-in/faults":
                changeFaults(request.body(BackendFaults.Change.class), request.connection());
                return JsonReply.empty(200);
            default:
                return JsonReply.of(404, ErrorBody.of("unknown-call"));
        }
    }

    /** Builds a {@link BackendServerStandIn}. Not safe for use by several threads. */
    public static final class Builder {
        private static final int DEFAULT_CONNECTION_LIMIT = 16;
        private static final int DEFAULT_SLOTS = 2;

        private final String database;
        private final String member;
        private int port;
        private int connectionLimit = DEFAULT_CONNECTION_LIMIT;
        private int slots = DEFAULT_SLOTS;
        private BackendFaults.Change initialFaults = new BackendFaults.Change(0L, 0.0, 0L, false, false);

        private Builder(String database, String member) {
            this.database = requireNonNull(database, "database");
            this.member = requireNonNull(member, "member");
        }

        /** Sets the port, 0 for any free one. */
        public Builder port(int value) {
            checkArgument(value >= 0 && value < 65_536, "port must be from 0 to 65535, was %s", value);
            this.port = value;
            return this;
        }

        /** Sets how many connections may carry statements at a time. */
        public Builder connectionLimit(int value) {
            checkArgument(value > 0, "connectionLimit must be positive, was %s", value);
            this.connectionLimit = value;
            return this;
        }

        /** Sets how many statements run at a time. */
        public Builder slots(int value) {
            checkArgument(value > 0, "slots must be positive, was %s", value);
            this.slots = value;
            return this;
        }

        /** Sets the faults and costs to begin with. */
        public Builder faults(BackendFaults.Change value) {
            this.initialFaults = requireNonNull(value, "faults");
            return this;
        }

        /** Starts the member. */
        public BackendServerStandIn start() {
            return new BackendServerStandIn(this);
        }

        String database() {
            return database;
        }

        String member() {
            return member;
        }

        int connectionLimit() {
            return connectionLimit;
        }

        int slots() {
            return slots;
        }
    }
}
