package org.fescuehook.logic.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestOutcome;

/** What this VM knows of the request ids that it claimed; asked by peers from other threads. */
public final class LocalOutcomes {
  private static final int MOST_SETTLED = 2048;

  private record Known(String token, Optional<RequestOutcome> outcome) {}

  private final Map<RequestKey, Known> running = new LinkedHashMap<>();
  private final Map<RequestKey, Known> settled = new LinkedHashMap<>();

  /** Notes a claim that waits for the log. */
  synchronized void begin(RequestKey key, String token) {
    running.putIfAbsent(key, new Known(token, Optional.empty()));
  }

  /** Notes a claim that won. */
  synchronized void won(RequestKey key, String token) {
    running.put(key, new Known(token, Optional.empty()));
  }

  /** Forgets a claim that was lost or released. */
  synchronized void forget(RequestKey key, String token) {
    if (running.containsKey(key) && running.get(key).token().equals(token)) {
      running.remove(key);
    }
  }

  /** Notes an outcome; the oldest are forgotten, the log has them. */
  synchronized void settle(RequestOutcome outcome) {
    running.remove(outcome.getKey());
    settled.put(outcome.getKey(), new Known(outcome.getToken(), Optional.of(outcome)));
    Iterator<RequestKey> oldest = settled.keySet().iterator();
    while (settled.size() > MOST_SETTLED) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns the outcome of a claim with this token, if it is settled. */
  synchronized Optional<RequestOutcome> settledOutcome(RequestKey key, String token) {
    return Optional.ofNullable(settled.get(key))
        .filter(known -> known.token().equals(token))
        .flatMap(Known::outcome);
  }

  /** Answers a peer; empty if this VM knows nothing of the key. */
  public synchronized Optional<OutcomeReply> find(RequestKey key) {
    if (running.containsKey(key)) {
      return Optional.of(OutcomeReply.newBuilder().setInProgress(true).build());
    }
    return Optional.ofNullable(settled.get(key))
        .flatMap(Known::outcome)
        .map(outcome -> OutcomeReply.newBuilder().setOutcome(outcome).build());
  }
}
