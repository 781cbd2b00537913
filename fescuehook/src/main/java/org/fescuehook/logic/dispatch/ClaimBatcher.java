package org.fescuehook.logic.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.fescuehook.wire.RequestClaim;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestOutcome;
import org.fescuehook.wire.RequestRecord;
import org.fescuehook.wire.RequestRelease;

/**
 * Collects claims, outcomes and releases into records to append to the log. At most one append is
 * in flight, and appends are limited to this VM's share of the rate that the log can handle. All
 * waiting items go into the next append together, up to a maximum size.
 */
final class ClaimBatcher {
  /** Maximum rate of appends by all entry VMs together. */
  static final int APPENDS_PER_SECOND = 200;

  /** Time after which an append without a reply is considered lost. */
  static final long APPEND_TIMEOUT_MILLIS = 5_000;

  /** Maximum number of waiting claims. */
  static final int MAX_WAITING_CLAIMS = 2_000;

  static final long PAUSE_AFTER_FAILURE_MILLIS = 500;

  private static final int MAX_RECORD_BYTES = 512 << 10;

  private final String writer;
  private final String incarnation;
  private final Deque<RequestClaim> claims = new ArrayDeque<>();
  private final Deque<RequestOutcome> outcomes = new ArrayDeque<>();
  private final Deque<RequestRelease> releases = new ArrayDeque<>();
  private Optional<RequestRecord> inFlight = Optional.empty();
  private long intervalMillis = 1000 / APPENDS_PER_SECOND;
  private long lastAppendMillis = Long.MIN_VALUE / 2;
  private long sequence;

  ClaimBatcher(String writer, String incarnation) {
    this.writer = writer;
    this.incarnation = incarnation;
  }

  /** Sets the number of entry VMs that share the maximum rate of appends. */
  void setVmCount(int vmCount) {
    intervalMillis = Math.max(1, vmCount) * 1000L / APPENDS_PER_SECOND;
  }

  /** Adds a claim; returns false if too many claims are waiting. */
  boolean claim(RequestClaim claim) {
    if (claims.size() >= MAX_WAITING_CLAIMS) {
      return false;
    }
    claims.addLast(claim);
    return true;
  }

  /** Removes a claim that was not yet appended; returns false if it may have been. */
  boolean withdraw(String token) {
    return claims.removeIf(claim -> claim.getToken().equals(token));
  }

  void outcome(RequestOutcome outcome) {
    outcomes.addLast(outcome);
  }

  void release(RequestKey key, String token) {
    releases.addLast(RequestRelease.newBuilder().setKey(key).setToken(token).build());
  }

  /** Returns the sequence number of the append in flight, else of the last one. */
  long sequence() {
    return sequence;
  }

  /**
   * Returns the record of the next append if there is anything to append and an append may begin
   * now.
   */
  Optional<RequestRecord> next(long nowMillis) {
    boolean appendInFlight =
        inFlight.isPresent() && nowMillis - lastAppendMillis < APPEND_TIMEOUT_MILLIS;
    if (appendInFlight || nowMillis - lastAppendMillis < intervalMillis || isEmpty()) {
      return Optional.empty();
    }
    inFlight.ifPresent(this::requeue);
    sequence++;
    lastAppendMillis = nowMillis;
    inFlight = Optional.of(buildRecord(nowMillis));
    return inFlight;
  }

  /** Returns the number of outcomes and releases that are not yet known to be in the log. */
  int unconfirmedCount() {
    int inFlightCount =
        inFlight.map(record -> record.getOutcomesCount() + record.getReleasesCount()).orElse(0);
    return inFlightCount + outcomes.size() + releases.size();
  }

  private boolean isEmpty() {
    return claims.isEmpty() && outcomes.isEmpty() && releases.isEmpty();
  }

  private RequestRecord buildRecord(long nowMillis) {
    RequestRecord.Builder record =
        RequestRecord.newBuilder()
            .setVersion(RequestRecords.VERSION)
            .setWriter(writer)
            .setIncarnation(incarnation)
            .setSequence(sequence)
            .setWrittenMillis(nowMillis);
    int bytes = 0;
    while (!releases.isEmpty() && bytes < MAX_RECORD_BYTES) {
      bytes += releases.peekFirst().getSerializedSize();
      record.addReleases(releases.removeFirst());
    }
    while (!claims.isEmpty() && bytes < MAX_RECORD_BYTES) {
      bytes += claims.peekFirst().getSerializedSize();
      record.addClaims(claims.removeFirst());
    }
    while (!outcomes.isEmpty() && bytes < MAX_RECORD_BYTES) {
      bytes += outcomes.peekFirst().getSerializedSize();
      record.addOutcomes(outcomes.removeFirst());
    }
    return record.build();
  }

  /**
   * Ends the append in flight and returns its record; empty if {@code append} is an earlier append.
   */
  Optional<RequestRecord> endAppend(long append) {
    if (append != sequence) {
      return Optional.empty();
    }
    Optional<RequestRecord> ended = inFlight;
    inFlight = Optional.empty();
    return ended;
  }

  /**
   * Queues the outcomes and releases of a failed append again, for an append after a pause. Claims
   * are not repeated.
   */
  void requeueFailed(RequestRecord record, long nowMillis) {
    requeue(record);
    lastAppendMillis = nowMillis + PAUSE_AFTER_FAILURE_MILLIS;
  }

  private void requeue(RequestRecord record) {
    record.getOutcomesList().reversed().forEach(outcomes::addFirst);
    record.getReleasesList().reversed().forEach(releases::addFirst);
  }
}
