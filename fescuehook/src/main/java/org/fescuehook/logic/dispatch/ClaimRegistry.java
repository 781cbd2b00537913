package org.fescuehook.logic.dispatch;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.wire.RequestClaim;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestOutcome;
import org.fescuehook.wire.RequestRecord;
import org.fescuehook.wire.RequestRelease;

/**
 * State of the request ids, built from the records of the stream {@code requests}: which claim of
 * each id came first, and its outcome. Every entry VM applies the same records and so reaches the
 * same state. Claims expire by the time stamps of the log, not by a local clock.
 */
final class ClaimRegistry {
  /** Number of registered claims from which on this VM makes no new ones. */
  static final int MAX_CLAIMS = 100_000;

  /** Maximum total size of stored answers; the oldest ones are dropped first. */
  static final int MAX_BODY_BYTES = 16 << 20;

  /** The claim in effect for a request id, and its outcome if known. */
  record Claim(
      String writer,
      String incarnation,
      String token,
      RequestDigest digest,
      long appendedMillis,
      Optional<RequestOutcome> outcome) {

    private Claim withAppendedMillis(long millis) {
      return new Claim(writer, incarnation, token, digest, millis, outcome);
    }

    private Claim withOutcome(RequestOutcome newOutcome) {
      return new Claim(writer, incarnation, token, digest, appendedMillis, Optional.of(newOutcome));
    }
  }

  /** Is notified of the changes that records make. */
  interface Listener {
    /** A claim was read; {@code inEffect} is the claim that won: this one or an earlier one. */
    void claimRead(RequestKey key, String token, Claim inEffect);

    /** The outcome of the claim in effect was read. */
    void outcomeRead(RequestKey key, Claim claim);

    /** The claim in effect was released. */
    void claimReleased(RequestKey key, String token);
  }

  private final long windowMillis;
  // In the order of their time stamps, oldest first.
  private final Map<RequestKey, Claim> claims = new LinkedHashMap<>();
  private final Deque<RequestKey> keysWithBody = new ArrayDeque<>();
  private long bodyBytes;
  private long logMillis;

  ClaimRegistry(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Applies a record. */
  void apply(RequestRecord record, long appendedMillis, Listener listener) {
    logMillis = Math.max(logMillis, appendedMillis);
    expire();
    for (RequestClaim claim : record.getClaimsList()) {
      apply(record, claim, listener);
    }
    for (RequestOutcome outcome : record.getOutcomesList()) {
      apply(outcome, listener);
    }
    for (RequestRelease release : record.getReleasesList()) {
      apply(release, listener);
    }
  }

  private void expire() {
    Iterator<Claim> oldest = claims.values().iterator();
    while (oldest.hasNext()) {
      Claim claim = oldest.next();
      if (claim.appendedMillis() + windowMillis > logMillis) {
        return;
      }
      claim.outcome().ifPresent(outcome -> bodyBytes -= outcome.getBody().size());
      oldest.remove();
    }
  }

  private void apply(RequestRecord record, RequestClaim claim, Listener listener) {
    Claim newClaim =
        new Claim(
            record.getWriter(),
            record.getIncarnation(),
            claim.getToken(),
            new RequestDigest(claim.getDigest()),
            logMillis,
            Optional.empty());
    // Every claim of a key, even one that loses, extends the claim in effect by another window.
    // Otherwise a VM that began to read after the first claim had been deleted from the log would
    // let a later claim win, unlike the other VMs.
    Optional<Claim> earlier = Optional.ofNullable(claims.remove(claim.getKey()));
    Claim inEffect = earlier.map(e -> e.withAppendedMillis(logMillis)).orElse(newClaim);
    claims.put(claim.getKey(), inEffect);
    listener.claimRead(claim.getKey(), claim.getToken(), inEffect);
  }

  private void apply(RequestOutcome outcome, Listener listener) {
    Optional<Claim> claim = find(outcome.getKey());
    boolean applies =
        claim.isPresent()
            && claim.get().token().equals(outcome.getToken())
            && claim.get().outcome().isEmpty();
    if (!applies) {
      return;
    }
    Claim resolved = claim.get().withOutcome(outcome);
    claims.put(outcome.getKey(), resolved);
    keepBody(outcome);
    listener.outcomeRead(outcome.getKey(), resolved);
  }

  private void keepBody(RequestOutcome outcome) {
    if (outcome.getBody().isEmpty()) {
      return;
    }
    bodyBytes += outcome.getBody().size();
    keysWithBody.addLast(outcome.getKey());
    while (bodyBytes > MAX_BODY_BYTES && !keysWithBody.isEmpty()) {
      dropBody(keysWithBody.removeFirst());
    }
  }

  private void dropBody(RequestKey key) {
    Optional<Claim> claim = find(key);
    Optional<RequestOutcome> outcome = claim.flatMap(Claim::outcome);
    if (outcome.isEmpty()) {
      return;
    }
    bodyBytes -= outcome.get().getBody().size();
    RequestOutcome withoutBody =
        outcome.get().toBuilder().setBody(ByteString.EMPTY).setWhole(false).build();
    claims.put(key, claim.get().withOutcome(withoutBody));
  }

  private void apply(RequestRelease release, Listener listener) {
    Optional<Claim> claim = find(release.getKey());
    boolean applies =
        claim.isPresent()
            && claim.get().token().equals(release.getToken())
            && claim.get().outcome().isEmpty();
    if (!applies) {
      return;
    }
    claims.remove(release.getKey());
    listener.claimReleased(release.getKey(), release.getToken());
  }

  /** Returns the claim in effect for a request id. */
  Optional<Claim> find(RequestKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  /** Returns whether this VM must not make new claims because the registry is full. */
  boolean isFull() {
    return claims.size() >= MAX_CLAIMS;
  }

  /** Returns the latest time stamp read from the log. */
  long logMillis() {
    return logMillis;
  }

  int size() {
    return claims.size();
  }
}
