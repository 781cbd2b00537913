package org.fescuehook.logic.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestOutcome;

/**
 * Outcomes of the request ids that this VM claimed. Thread-safe, because other threads look them up
 * for peers.
 */
public final class LocalOutcomes {
  private static final int MAX_RECORDED = 2048;

  private record LocalClaim(String token, Optional<RequestOutcome> outcome) {}

  private final Map<RequestKey, LocalClaim> inProgress = new LinkedHashMap<>();
  private final Map<RequestKey, LocalClaim> recorded = new LinkedHashMap<>();

  /** Adds a claim that is not yet read back from the log. */
  synchronized void add(RequestKey key, String token) {
    inProgress.putIfAbsent(key, new LocalClaim(token, Optional.empty()));
  }

  /** Adds a claim that won. */
  synchronized void claimWon(RequestKey key, String token) {
    inProgress.put(key, new LocalClaim(token, Optional.empty()));
  }

  /** Removes a claim that lost or was released. */
  synchronized void remove(RequestKey key, String token) {
    if (inProgress.containsKey(key) && inProgress.get(key).token().equals(token)) {
      inProgress.remove(key);
    }
  }

  /** Records an outcome. Drops the oldest outcomes beyond the maximum, as the log has them. */
  synchronized void recordOutcome(RequestOutcome outcome) {
    inProgress.remove(outcome.getKey());
    recorded.put(outcome.getKey(), new LocalClaim(outcome.getToken(), Optional.of(outcome)));
    Iterator<RequestKey> oldest = recorded.keySet().iterator();
    while (recorded.size() > MAX_RECORDED) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns the outcome of a claim with this token, if one is recorded. */
  synchronized Optional<RequestOutcome> recordedOutcome(RequestKey key, String token) {
    return Optional.ofNullable(recorded.get(key))
        .filter(claim -> claim.token().equals(token))
        .flatMap(LocalClaim::outcome);
  }

  /** Returns the reply to a peer that asks for an outcome; empty if the key is unknown here. */
  public synchronized Optional<OutcomeReply> find(RequestKey key) {
    if (inProgress.containsKey(key)) {
      return Optional.of(OutcomeReply.newBuilder().setInProgress(true).build());
    }
    return Optional.ofNullable(recorded.get(key))
        .flatMap(LocalClaim::outcome)
        .map(outcome -> OutcomeReply.newBuilder().setOutcome(outcome).build());
  }
}
