package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Limits of the request path.
 *
 * @param defaultTimeout deadline of a request that names none
 * @param maxTimeout longest deadline that a request may name
 * @param maxBodyBytes largest body of a request, in bytes
 * @param maxHeaderBytes largest sum of the headers of a request, in bytes
 * @param maxCallerConnections most connections of callers at once
 * @param queueLength most requests waiting for a slot, for each urgency class
 * @param retryBudget retries as a share of the requests of the last 10 s
 * @param maxTries most dispatches of one repeatable request
 * @param headerTimeout longest time for a caller to send a whole head and body
 * @param idleTimeout time after which a caller's idle connection is closed
 * @param probeInterval interval between probes of an idle connection to an executor
 * @param claimWindow time for which the outcome of a request id is kept
 */
public record RequestPreferences(
    Duration defaultTimeout,
    Duration maxTimeout,
    int maxBodyBytes,
    int maxHeaderBytes,
    int maxCallerConnections,
    int queueLength,
    double retryBudget,
    int maxTries,
    Duration headerTimeout,
    Duration idleTimeout,
    Duration probeInterval,
    Duration claimWindow) {

  /** Values in force where nothing is set. */
  public static final RequestPreferences DEFAULT =
      new RequestPreferences(
          Duration.ofSeconds(10),
          Duration.ofMinutes(2),
          1 << 20,
          16 << 10,
          2000,
          1000,
          0.1,
          3,
          Duration.ofSeconds(10),
          Duration.ofSeconds(60),
          Duration.ofSeconds(15),
          Duration.ofHours(1));
}
