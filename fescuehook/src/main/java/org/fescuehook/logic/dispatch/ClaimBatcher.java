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
 * Collects claims, outcomes and releases into records: one append in flight, and no more appends
 * per second than this VM's part of what the log takes. All that waits shares the next append.
 */
final class ClaimBatcher {
  /** Appends of all entry VMs together, per second. */
  static final int APPENDS_PER_SECOND = 200;

  /** Longest time for an append to end before it is taken for lost. */
  static final long APPEND_TIMEOUT_MILLIS = 5_000;

  /** Most claims that wait. */
  static final int MOST_WAITING_CLAIMS = 2_000;

  static final long PAUSE_AFTER_FAILURE_MILLIS = 500;

  private static final int MOST_RECORD_BYTES = 512 << 10;

  private final String writer;
  private final String incarnation;
  private final Deque<RequestClaim> claims = new ArrayDeque<>();
  private final Deque<RequestOutcome> outcomes = new ArrayDeque<>();
  private final Deque<RequestRelease> releases = new ArrayDeque<>();
  private Optional<RequestRecord> inFlight = Optional.empty();
  private long intervalMillis = 1000 / APPENDS_PER_SECOND;
  private long lastBegunMillis = Long.MIN_VALUE / 2;
  private long sequence;

  ClaimBatcher(String writer, String incarnation) {
    this.writer = writer;
    this.incarnation = incarnation;
  }

  /** Shares the log's appends among so many entry VMs. */
  void shareAmong(int vms) {
    intervalMillis = Math.max(1, vms) * 1000L / APPENDS_PER_SECOND;
  }

  /** Adds a claim; false if too many wait. */
  boolean claim(RequestClaim claim) {
    if (claims.size() >= MOST_WAITING_CLAIMS) {
      return false;
    }
    claims.addLast(claim);
    return true;
  }

  /** Takes back a claim that was not handed to the log; false if it may have been. */
  boolean withdraw(String token) {
    return claims.removeIf(claim -> claim.getToken().equals(token));
  }

  void outcome(RequestOutcome outcome) {
    outcomes.addLast(outcome);
  }

  void release(RequestKey key, String token) {
    releases.addLast(RequestRelease.newBuilder().setKey(key).setToken(token).build());
  }

  /** Returns the number of the append in flight or last begun. */
  long sequence() {
    return sequence;
  }

  /** Begins the next append, if there is something to append and one may begin. */
  Optional<RequestRecord> next(long nowMillis) {
    boolean busy = inFlight.isPresent() && nowMillis - lastBegunMillis < APPEND_TIMEOUT_MILLIS;
    if (busy || nowMillis - lastBegunMillis < intervalMillis || isEmpty()) {
      return Optional.empty();
    }
    inFlight.ifPresent(this::putBack);
    sequence++;
    lastBegunMillis = nowMillis;
    inFlight = Optional.of(collect(nowMillis));
    return inFlight;
  }

  /** Returns how many outcomes and releases are not known to be in the log. */
  int unrecorded() {
    int begun =
        inFlight.map(record -> record.getOutcomesCount() + record.getReleasesCount()).orElse(0);
    return begun + outcomes.size() + releases.size();
  }

  private boolean isEmpty() {
    return claims.isEmpty() && outcomes.isEmpty() && releases.isEmpty();
  }

  private RequestRecord collect(long nowMillis) {
    RequestRecord.Builder record =
        RequestRecord.newBuilder()
            .setVersion(RequestRecords.VERSION)
            .setWriter(writer)
            .setIncarnation(incarnation)
            .setSequence(sequence)
            .setWrittenMillis(nowMillis);
    int bytes = 0;
    while (!releases.isEmpty() && bytes < MOST_RECORD_BYTES) {
      bytes += releases.peekFirst().getSerializedSize();
      record.addReleases(releases.removeFirst());
    }
    while (!claims.isEmpty() && bytes < MOST_RECORD_BYTES) {
      bytes += claims.peekFirst().getSerializedSize();
      record.addClaims(claims.removeFirst());
    }
    while (!outcomes.isEmpty() && bytes < MOST_RECORD_BYTES) {
      bytes += outcomes.peekFirst().getSerializedSize();
      record.addOutcomes(outcomes.removeFirst());
    }
    return record.build();
  }

  /** Ends the append in flight; empty if it is not the one that is awaited. */
  Optional<RequestRecord> ended(long append) {
    if (append != sequence) {
      return Optional.empty();
    }
    Optional<RequestRecord> ended = inFlight;
    inFlight = Optional.empty();
    return ended;
  }

  /** Appends what is worth repeating again, after a pause; claims are not repeated. */
  void failed(RequestRecord record, long nowMillis) {
    putBack(record);
    lastBegunMillis = nowMillis + PAUSE_AFTER_FAILURE_MILLIS;
  }

  private void putBack(RequestRecord record) {
    record.getOutcomesList().reversed().forEach(outcomes::addFirst);
    record.getReleasesList().reversed().forEach(releases::addFirst);
  }
}
