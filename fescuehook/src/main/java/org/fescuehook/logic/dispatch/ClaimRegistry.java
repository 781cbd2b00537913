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
 * Fold of the stream {@code requests}: who claimed each request id first, and what came of it.
 * Every entry VM folds the same records to the same book. Claims expire by the log's own time.
 */
final class ClaimRegistry {
  /** Most claims in the book before this VM makes no more. */
  static final int MOST_CLAIMS = 100_000;

  /** Most bytes of answers in the book; the oldest are dropped first. */
  static final int MOST_BODY_BYTES = 16 << 20;

  /** What is known of a request id. */
  record Claim(
      String writer,
      String incarnation,
      String token,
      RequestDigest digest,
      long appendedMillis,
      Optional<RequestOutcome> outcome) {

    private Claim at(long millis) {
      return new Claim(writer, incarnation, token, digest, millis, outcome);
    }

    private Claim with(RequestOutcome settled) {
      return new Claim(writer, incarnation, token, digest, appendedMillis, Optional.of(settled));
    }
  }

  /** Hears what the records change. */
  interface Listener {
    /** A claim was read; {@code inForce} is the one that won, itself or an earlier one. */
    void claimRead(RequestKey key, String token, Claim inForce);

    /** The outcome of the claim in force was read. */
    void settled(RequestKey key, Claim claim);

    /** The claim in force was given up. */
    void released(RequestKey key, String token);
  }

  private final long windowMillis;
  // In the order of their times, so that the oldest come first.
  private final Map<RequestKey, Claim> claims = new LinkedHashMap<>();
  private final Deque<RequestKey> withBody = new ArrayDeque<>();
  private long bodyBytes;
  private long logMillis;

  ClaimRegistry(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Folds a record. */
  void fold(RequestRecord record, long appendedMillis, Listener reader) {
    logMillis = Math.max(logMillis, appendedMillis);
    expire();
    for (RequestClaim claim : record.getClaimsList()) {
      fold(record, claim, reader);
    }
    for (RequestOutcome outcome : record.getOutcomesList()) {
      fold(outcome, reader);
    }
    for (RequestRelease release : record.getReleasesList()) {
      fold(release, reader);
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

  private void fold(RequestRecord record, RequestClaim claim, Listener reader) {
    Claim fresh =
        new Claim(
            record.getWriter(),
            record.getIncarnation(),
            claim.getToken(),
            new RequestDigest(claim.getDigest()),
            logMillis,
            Optional.empty());
    // Every claim of a key, also one that loses, keeps the key taken for another window. Else a VM
    // that began reading after the first one vanished would let a later claim win than the others.
    Optional<Claim> earlier = Optional.ofNullable(claims.remove(claim.getKey()));
    Claim inForce = earlier.map(e -> e.at(logMillis)).orElse(fresh);
    claims.put(claim.getKey(), inForce);
    reader.claimRead(claim.getKey(), claim.getToken(), inForce);
  }

  private void fold(RequestOutcome outcome, Listener reader) {
    Optional<Claim> claim = find(outcome.getKey());
    boolean counts =
        claim.isPresent()
            && claim.get().token().equals(outcome.getToken())
            && claim.get().outcome().isEmpty();
    if (!counts) {
      return;
    }
    Claim settled = claim.get().with(outcome);
    claims.put(outcome.getKey(), settled);
    keepBody(outcome);
    reader.settled(outcome.getKey(), settled);
  }

  private void keepBody(RequestOutcome outcome) {
    if (outcome.getBody().isEmpty()) {
      return;
    }
    bodyBytes += outcome.getBody().size();
    withBody.addLast(outcome.getKey());
    while (bodyBytes > MOST_BODY_BYTES && !withBody.isEmpty()) {
      dropBody(withBody.removeFirst());
    }
  }

  private void dropBody(RequestKey key) {
    Optional<Claim> claim = find(key);
    Optional<RequestOutcome> outcome = claim.flatMap(Claim::outcome);
    if (outcome.isEmpty()) {
      return;
    }
    bodyBytes -= outcome.get().getBody().size();
    RequestOutcome bare =
        outcome.get().toBuilder().setBody(ByteString.EMPTY).setWhole(false).build();
    claims.put(key, claim.get().with(bare));
  }

  private void fold(RequestRelease release, Listener reader) {
    Optional<Claim> claim = find(release.getKey());
    boolean counts =
        claim.isPresent()
            && claim.get().token().equals(release.getToken())
            && claim.get().outcome().isEmpty();
    if (!counts) {
      return;
    }
    claims.remove(release.getKey());
    reader.released(release.getKey(), release.getToken());
  }

  /** Returns the claim in force for a request id. */
  Optional<Claim> find(RequestKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  /** Tells whether the book has no room for claims of this VM. */
  boolean full() {
    return claims.size() >= MOST_CLAIMS;
  }

  /** Returns the latest time of the log that was read. */
  long logMillis() {
    return logMillis;
  }

  int size() {
    return claims.size();
  }
}
