package org.banyanhook.daemon.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/**
 * A {@link PlatformClient} that calls the platform's service over HTTP/1.1.
 *
 * <p>Each call uses a new connection, so that an unresponsive connection delays only one call. Safe for use by several
 * threads.
 */
public final class HttpPlatformClient implements PlatformClient, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(HttpPlatformClient.class);
    private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofSeconds(1);
    private static final int MAXIMUM_VALUE_CHARACTERS = 1 << 20;
    private static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;
    private static final int MAXIMUM_CONNECTIONS = 32;
    private static final int MAXIMUM_THREADS = 8;
    private static final int MINIMUM_THREADS = 1;

    private final String baseUri;
    private final Duration timeout;
    private final MeterRegistry meterRegistry;
    private final HttpClient client;
    private final JsonMapper mapper = new JsonMapper();

    private HttpPlatformClient(Builder builder) {
        this.baseUri = "http://" + builder.address + "/v1/";
        this.timeout = builder.timeout;
        this.meterRegistry = builder.meterRegistry;
        this.client = newClient(builder.timeout);
    }

    /**
     * Creates a builder.
     *
     * @param address the IP address and port of the service
     * @return a new builder
     */
    public static Builder builder(String address) {
        return new Builder(address);
    }

    /**
     * Starts the HTTP client and its threads.
     *
     * @throws IllegalStateException if the HTTP client cannot be started
     */
    public void start() {
        try {
            client.start();
        } catch (Exception exception) {
            throw new IllegalStateException(
                    "cannot start the HTTP client of the platform's service; restart the daemon", exception);
        }
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> read(String key) {
        return send("read", valueRequest(key), timeout).thenApply(response -> {
            if (response.getStatus() == HttpStatus.NOT_FOUND_404) {
                return Optional.empty();
            }
            return Optional.of(parseStoredValue(requireOk("read", response)));
        });
    }

    @Override
    public CompletableFuture<Long> compareAndSwap(String key, String value, long expectedRevision) {
        if (value.length() > MAXIMUM_VALUE_CHARACTERS) {
            String message = "the value of " + key + " has " + value.length() + " characters; write at most "
                    + MAXIMUM_VALUE_CHARACTERS;
            return CompletableFuture.failedFuture(new PlatformException(PlatformException.Kind.REFUSED, message));
        }
        String body = mapper.createObjectNode()
                .put("value", value)
                .put("expectedRevision", expectedRevision)
                .toString();
        Request request = valueRequest(key)
                .method(HttpMethod.PUT)
                .body(new StringRequestContent("application/json", body, StandardCharsets.UTF_8));
        return send("compare-and-swap", request, timeout).thenApply(response -> {
            if (response.getStatus() == HttpStatus.CONFLICT_409) {
                throw newException(
                        PlatformException.Kind.CONFLICT, "the revision of " + key + " is not " + expectedRevision);
            }
            return requireOk("compare-and-swap", response).path("revision").asLong();
        });
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait) {
        Request request = client.newRequest(valueUri(key) + "/watch")
                .param("afterRevision", Long.toString(afterRevision))
                .param("waitMillis", Long.toString(wait.toMillis()));
        return send("watch", request, wait.plus(WATCH_TIMEOUT_MARGIN)).thenApply(response -> {
            if (response.getStatus() == HttpStatus.NOT_MODIFIED_304
                    || response.getStatus() == HttpStatus.NOT_FOUND_404) {
                return Optional.empty();
            }
            return Optional.of(parseStoredValue(requireOk("watch", response)));
        });
    }

    @Override
    public CompletableFuture<List<VirtualMachine>> virtualMachines() {
        Request request = client.newRequest(baseUri + "virtual-machines");
        return send("virtual-machines", request, timeout).thenApply(response -> {
            JsonNode list = requireOk("virtual-machines", response).path("virtualMachines");
            ImmutableList.Builder<VirtualMachine> machines = ImmutableList.builder();
            list.forEach(entry -> machines.add(parseVirtualMachine(entry)));
            return machines.build();
        });
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception exception) {
            LOGGER.warn("cannot stop the HTTP client of the platform's service", exception);
        }
    }

    private Request valueRequest(String key) {
        return client.newRequest(valueUri(key));
    }

    private String valueUri(String key) {
        return baseUri + "values/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    private CompletableFuture<ContentResponse> send(String call, Request request, Duration callTimeout) {
        Request limitedRequest = request.timeout(callTimeout.toMillis(), TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(limitedRequest, MAXIMUM_RESPONSE_BYTES)
                .send()
                .handle((response, failure) -> {
                    if (failure != null) {
                        countCall(call, "unavailable");
                        throw newUnavailableException(call, failure);
                    }
                    countCall(call, Integer.toString(response.getStatus()));
                    return response;
                });
    }

    private void countCall(String call, String outcome) {
        meterRegistry
                .counter("banyanhook.platform.calls", "call", call, "outcome", outcome)
                .increment();
    }

    private JsonNode requireOk(String call, ContentResponse response) {
        if (response.getStatus() == HttpStatus.OK_200) {
            return parse(call, response.getContentAsString());
        }
        boolean refused = HttpStatus.isClientError(response.getStatus());
        PlatformException.Kind kind = refused ? PlatformException.Kind.REFUSED : PlatformException.Kind.UNAVAILABLE;
        throw newException(kind, call + " failed with status " + response.getStatus());
    }

    private JsonNode parse(String call, @Nullable String text) {
        try {
            return mapper.readTree(text == null ? "" : text);
        } catch (JsonProcessingException exception) {
            throw newUnavailableException(call, exception);
        }
    }

    private static StoredValue parseStoredValue(JsonNode node) {
        return new StoredValue(
                node.path("key").asText(),
                node.path("value").asText(),
                node.path("revision").asLong());
    }

    private static VirtualMachine parseVirtualMachine(JsonNode node) {
        return new VirtualMachine(
                node.path("name").asText(),
                node.path("kind").asText(),
                node.path("failureDomain").asText(),
                node.path("address").asText(),
                node.path("state").asText());
    }

    private static CompletionException newUnavailableException(String call, Throwable failure) {
        String reason = failure.getClass().getSimpleName();
        return newException(
                PlatformException.Kind.UNAVAILABLE,
                call + " got no valid response (" + reason
                        + "); a change may have taken effect, read the value before a retry");
    }

    private static CompletionException newException(PlatformException.Kind kind, String message) {
        return new CompletionException(new PlatformException(kind, message));
    }

    private static HttpClient newClient(Duration timeout) {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName("platform-client");
        threads.setDaemon(true);
        HttpClient client = new HttpClient();
        client.setExecutor(threads);
        client.setConnectTimeout(timeout.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.getTransport().setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAXIMUM_CONNECTIONS);
            pool.setMaxUsage(1);
            return pool;
        });
        return client;
    }

    /** Builds an {@link HttpPlatformClient}. Not safe for use by several threads. */
    public static final class Builder {
        private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);

        private final String address;
        private Duration timeout = DEFAULT_TIMEOUT;
        private MeterRegistry meterRegistry = new SimpleMeterRegistry();

        private Builder(String address) {
            this.address = requireNonNull(address, "address");
        }

        /** Sets the timeout of calls other than a watch, and of connecting. Default 1 s. */
        public Builder timeout(Duration value) {
            checkArgument(value.toMillis() > 0, "timeout must be at least 1 ms, was %s", value);
            this.timeout = value;
            return this;
        }

        /** Sets the registry in which calls are counted. */
        public Builder meterRegistry(MeterRegistry value) {
            this.meterRegistry = requireNonNull(value, "meterRegistry");
            return this;
        }

        /** Creates the client without starting it. */
        public HttpPlatformClient build() {
            return new HttpPlatformClient(this);
        }
    }
}
