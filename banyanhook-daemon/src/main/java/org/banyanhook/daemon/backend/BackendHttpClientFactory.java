package org.banyanhook.daemon.backend;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;

/** Creates the HTTP client towards backend servers. */
public final class BackendHttpClientFactory {

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private BackendHttpClientFactory() {}

    /**
     * Starts a client that adds nothing of its own to requests and follows no redirect.
     *
     * @param executor runs the client's callbacks
     * @return the client, started
     * @throws Exception if it could not start
     */
    public static HttpClient start(Executor executor) throws Exception {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        connector.setExecutor(executor);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(executor);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }
}
