package org.banyanhook.testbed.line;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanhook.testbed.faultproxy.FaultProxy;
import org.banyanhook.testbed.fleet.LoopbackPorts;

/** Places gateways in three regions, and can cut the first one off from the others and from the platform. */
final class RegionLinks implements GatewayFleet.EndpointProvider, AutoCloseable {

    private static final String CUT_REGION = "a";

    private final List<String> failureDomains;
    private final List<Integer> peerPorts = new ArrayList<>();
    private final List<FaultProxy> crossing = new ArrayList<>();
    private boolean cut;

    RegionLinks(List<String> failureDomains) throws IOException {
        this.failureDomains = failureDomains;
        for (int gateway = 0; gateway < failureDomains.size(); gateway++) {
            peerPorts.add(LoopbackPorts.free());
        }
    }

    @Override
    public synchronized GatewayFleet.GatewayEndpoints endpointsOf(int gateway, GatewayFleet fleet) {
        boolean inside = isInside(failureDomains.get(gateway));
        Map<String, String> shown = new HashMap<>();
        // The members are in the failure domains a, b and c, in this order.
        for (int member = 0; member < fleet.group().members().size(); member++) {
            if (inside != (member == 0)) {
                addProxy(shown, fleet.group().members().get(member).address());
            }
        }
        for (int peer = 0; peer < peerPorts.size(); peer++) {
            if (isInside(failureDomains.get(peer)) != inside) {
                addProxy(shown, GatewayFleet.peerHost(peer) + ":" + peerPorts.get(peer));
            }
        }
        String store = fleet.store().openView(text -> replaceAddresses(text, shown));
        Map<String, String> platform = new HashMap<>();
        if (inside) {
            addProxy(platform, store);
            addProxy(platform, fleet.promotionAuthorityAddress());
        }
        return new GatewayFleet.GatewayEndpoints(
                platform.getOrDefault(store, store),
                platform.getOrDefault(fleet.promotionAuthorityAddress(), fleet.promotionAuthorityAddress()),
                peerPorts.get(gateway));
    }

    @Override
    public String failureDomainOf(int gateway) {
        return failureDomains.get(gateway);
    }

    @Override
    public String regionOf(String failureDomain) {
        return "region-" + failureDomain;
    }

    /** Cuts the first region off from everything else while set. */
    synchronized void cut(boolean value) {
        cut = value;
        crossing.forEach(proxy -> {
            if (value) {
                proxy.cut();
            } else {
                proxy.faults().heal();
                proxy.closeCutConnections();
            }
        });
    }

    @Override
    public void close() {
        crossing.forEach(FaultProxy::close);
    }

    private static boolean isInside(String failureDomain) {
        return failureDomain.equals(CUT_REGION);
    }

    private void addProxy(Map<String, String> shown, String address) {
        FaultProxy proxy = FaultProxy.builder(address).seed(1).start();
        crossing.add(proxy);
        if (cut) {
            proxy.cut();
        }
        shown.put(address, proxy.address());
    }

    private static String replaceAddresses(String text, Map<String, String> addresses) {
        String result = text;
        for (Map.Entry<String, String> address : addresses.entrySet()) {
            result = result.replace("\"" + address.getKey() + "\"", "\"" + address.getValue() + "\"");
        }
        return result;
    }
}
