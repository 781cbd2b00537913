package org.fescuehook.standins.http;

/**
 * Limits of a server.
 *
 * @param maxConnections connections open at a time; further ones are closed at accept
 * @param maxBodyBytes longest request body; longer ones are answered by 413
 */
public record ServerLimits(int maxConnections, int maxBodyBytes) {
  private static final int MEBIBYTE = 1 << 20;

  /** Returns the limits of services that take any number of connections. */
  public static ServerLimits unlimited() {
    return new ServerLimits(Integer.MAX_VALUE, MEBIBYTE);
  }

  /** Returns the limits of an executor. */
  public static ServerLimits connections(int maxConnections) {
    return new ServerLimits(maxConnections, 64 * MEBIBYTE);
  }
}
