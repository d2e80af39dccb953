package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanhook.testbed.faultproxy.FaultProxy;
import org.banyanhook.testbed.fleet.LoopbackPorts;
import org.banyanhook.testbed.line.GatewayFleet;
import org.banyanhook.testbed.line.LineMember;

/**
 * Fault proxies for all outgoing links of each gateway: to the store, the promotion authority, each member and each
 * other gateway. Thread-safe once all gateways have started.
 */
final class SoakLinks implements GatewayFleet.EndpointProvider, AutoCloseable {

    private final List<Integer> peerPorts = new ArrayList<>();
    private final Map<Integer, Map<String, FaultProxy>> linksByGateway = new HashMap<>();
    private final long seed;

    SoakLinks(int gateways, long seed) throws IOException {
        this.seed = seed;
        for (int gateway = 0; gateway < gateways; gateway++) {
            peerPorts.add(LoopbackPorts.free());
        }
    }

    @Override
    public GatewayFleet.GatewayEndpoints endpointsOf(int gateway, GatewayFleet fleet) {
        Map<String, FaultProxy> links = linksByGateway.computeIfAbsent(gateway, number -> new HashMap<>());
        Map<String, String> proxyAddresses = new HashMap<>();
        for (LineMember member : fleet.group().members()) {
            proxyAddresses.put(member.address(), startProxy(links, member.name(), member.address()));
        }
        for (int peer = 0; peer < peerPorts.size(); peer++) {
            if (peer != gateway) {
                String address = GatewayFleet.peerHost(peer) + ":" + peerPorts.get(peer);
                proxyAddresses.put(address, startProxy(links, "gateway-" + peer, address));
            }
        }
        String storeAddress = fleet.store().openView(text -> replaceAddresses(text, proxyAddresses));
        return new GatewayFleet.GatewayEndpoints(
                startProxy(links, "store", storeAddress),
                startProxy(links, "authority", fleet.promotionAuthorityAddress()),
                peerPorts.get(gateway));
    }

    /** Returns the fault proxies of a gateway by the name of their target, empty for a gateway that was not started. */
    Map<String, FaultProxy> of(int gateway) {
        return linksByGateway.getOrDefault(gateway, Map.of());
    }

    /** Ends the faults of all links, including delays. */
    void heal() {
        linksByGateway
                .values()
                .forEach(links -> links.values().forEach(link -> {
                    link.faults().heal();
                    link.faults().delay(0, 0);
                }));
    }

    @Override
    public void close() {
        linksByGateway.values().forEach(links -> links.values().forEach(FaultProxy::close));
    }

    private String startProxy(Map<String, FaultProxy> links, String name, String address) {
        FaultProxy proxy = FaultProxy.builder(address).seed(seed).start();
        links.put(name, proxy);
        return proxy.address();
    }

    private static String replaceAddresses(String text, Map<String, String> addresses) {
        String result = text;
        for (Map.Entry<String, String> address : addresses.entrySet()) {
            result = result.replace("\"" + address.getKey() + "\"", "\"" + address.getValue() + "\"");
        }
        return result;
    }
}
