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
 * A fault proxy on every link of every gateway: to the store, the authority, each member and each other gateway. Safe
 * for several threads once all gateways have started.
 */
final class SoakLinks implements GatewayFleet.EndpointProvider, AutoCloseable {

    private final List<Integer> peerPorts = new ArrayList<>();
    private final Map<Integer, Map<String, FaultProxy>> byGateway = new HashMap<>();
    private final long seed;

    SoakLinks(int gateways, long seed) throws IOException {
        this.seed = seed;
        for (int gateway = 0; gateway < gateways; gateway++) {
            peerPorts.add(LoopbackPorts.free());
        }
    }

    @Override
    public GatewayFleet.GatewayEndpoints endpointsOf(int gateway, GatewayFleet fleet) {
        Map<String, FaultProxy> links = byGateway.computeIfAbsent(gateway, number -> new HashMap<>());
        Map<String, String> rewritten = new HashMap<>();
        for (LineMember member : fleet.group().members()) {
            rewritten.put(member.address(), link(links, member.name(), member.address()));
        }
        for (int peer = 0; peer < peerPorts.size(); peer++) {
            if (peer != gateway) {
                String address = GatewayFleet.peerHost(peer) + ":" + peerPorts.get(peer);
                rewritten.put(address, link(links, "gateway-" + peer, address));
            }
        }
        String view = fleet.store().openView(text -> rewrite(text, rewritten));
        return new GatewayFleet.GatewayEndpoints(
                link(links, "store", view),
                link(links, "authority", fleet.promotionAuthorityAddress()),
                peerPorts.get(gateway));
    }

    /** Returns the links of a gateway by what they lead to. */
    Map<String, FaultProxy> of(int gateway) {
        return byGateway.getOrDefault(gateway, Map.of());
    }

    /** Ends all faults. */
    void heal() {
        byGateway
                .values()
                .forEach(links -> links.values().forEach(link -> {
                    link.faults().heal();
                    link.faults().delay(0, 0);
                }));
    }

    @Override
    public void close() {
        byGateway.values().forEach(links -> links.values().forEach(FaultProxy::close));
    }

    private String link(Map<String, FaultProxy> links, String name, String address) {
        FaultProxy proxy = FaultProxy.builder(address).seed(seed).start();
        links.put(name, proxy);
        return proxy.address();
    }

    private static String rewrite(String text, Map<String, String> addresses) {
        String result = text;
        for (Map.Entry<String, String> address : addresses.entrySet()) {
            result = result.replace("\"" + address.getKey() + "\"", "\"" + address.getValue() + "\"");
        }
        return result;
    }
}
