package org.banyanhook.daemon.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Reads and writes addresses of the form IP number, colon, port. */
public final class Addresses {

    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param address an IP number and port, as in {@code 127.0.0.1:9000} or {@code [::1]:9000}
     * @return the socket address; no name is looked up
     * @throws IllegalArgumentException if the text is no IP number and port
     */
    public static InetSocketAddress parse(String address) {
        checkArgument(isValid(address), "address must be an IP number and port, was %s", address);
        HostAndPort parts = HostAndPort.fromString(address);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    /**
     * Tells whether a text is an IP number and port.
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
     * Writes an address.
     *
     * @param address a resolved socket address
     * @return its IP number and port
     */
    public static String format(InetSocketAddress address) {
        return HostAndPort.fromParts(InetAddresses.toAddrString(address.getAddress()), address.getPort())
                .toString();
    }
}
