package org.banyanhook.gateway.port;

/**
 * The paths of the HTTP interface.
 *
 * @param readiness the path of the readiness check, which answers whether new connections are accepted
 * @param metrics the path of the metrics in text format
 */
public record HttpPaths(String readiness, String metrics) {}
