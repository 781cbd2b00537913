package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Limits for the handling of short requests.
 *
 * @param defaultTimeout timeout of a request that states no deadline
 * @param maxTimeout longest timeout that a request may ask for
 * @param maxBodyBytes maximum size of the body of a request, in bytes
 * @param maxHeaderBytes maximum total size of the headers of a request, in bytes
 * @param maxCallerConnections maximum number of concurrent connections of callers
 * @param queueLength maximum number of requests waiting for a slot, for each urgency class
 * @param retryBudget maximum ratio of retries to the requests of the last 10 s
 * @param maxTries maximum number of dispatches of one repeatable request
 * @param headerTimeout time within which a caller has to send the complete headers and body
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

  /** Values that apply if nothing is set. */
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
