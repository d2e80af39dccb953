package org.banyanhook.daemon.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses and formats addresses that consist of an IP address and a port. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param address an IP address and port, as in {@code 127.0.0.1:9000} or {@code [::1]:9000}
     * @return the socket address; host names are not resolved
     * @throws IllegalArgumentException if the text is not an IP address and port
     */
    public static InetSocketAddress parse(String address) {
        checkArgument(isValid(address), "address must be an IP address and port, was %s", address);
        HostAndPort parts = HostAndPort.fromString(address);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    /**
     * Returns whether a text is an IP address and port.
     *
     * @param address the text
     * @return true if {@link #parse} accepts it
     */
    public static boolean isValid(String address) {
        try {
            HostAndPort parts = HostAndPort.fromString(address);
            return parts.hasPort() && InetAddresses.isInetAddress(parts.getHost());
        } catch (IllegalArgumentException exception) {
            return false;
        }
    }

    /**
     * Formats an address.
     *
     * @param address a resolved socket address
     * @return the IP address and port
     */
    public static String format(InetSocketAddress address) {
        return HostAndPort.fromParts(InetAddresses.toAddrString(address.getAddress()), address.getPort())
                .toString();
    }
}
