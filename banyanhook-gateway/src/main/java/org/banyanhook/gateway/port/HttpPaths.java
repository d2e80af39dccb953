package org.banyanhook.gateway.port;

/**
 * The paths under which the daemon answers over HTTP.
 *
 * @param readiness tells whether new connections are welcome
 * @param metrics serves the metrics as text
 */
public record HttpPaths(String readiness, String metrics) {}
