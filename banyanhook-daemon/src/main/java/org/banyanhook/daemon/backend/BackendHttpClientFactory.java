package org.banyanhook.daemon.backend;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;

/** Creates HTTP clients for requests to backend servers. */
public final class BackendHttpClientFactory {

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private BackendHttpClientFactory() {}

    /**
     * Starts a client that sends no User-Agent, Cookie or Accept-Encoding header and does not follow redirects.
     *
     * @param executor the executor of the client's callbacks
     * @return the started client
     * @throws Exception if the client cannot be started
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
