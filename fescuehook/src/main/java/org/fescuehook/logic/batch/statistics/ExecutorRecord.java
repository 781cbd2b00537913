package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.model.fleet.Incarnation;

/** The evidence for and against one executor. */
final class ExecutorRecord {

  /**
   * Loss of suspicion per second without new evidence, as logarithm of the odds. One failed run is
   * forgotten after 9 s and the worst record after 30 s; faults of executors last about 6 s, and an
   * executor that is never tried must return as well.
   */
  private static final double DECAY_PER_SECOND = 0.2;

  /** Upper bound of suspicion, so that three runs that end well outweigh any number of failures. */
  private static final double MAX_SUSPICION = 7;

  /**
   * Reduction of suspicion by a run that ends well. Faulty executors fail every run, but one in ten
   * runs may end well while an executor becomes faulty or normal again: ln(0.965 / 0.1).
   */
  private static final double SUCCESS_WEIGHT = 2.27;

  /** First backoff after failures; it doubles with each further one. */
  private static final Duration FIRST_BACKOFF = Duration.ofSeconds(2);

  private static final int MAX_BACKOFF_DOUBLINGS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Time in which several observations of one kind may share a cause, and count once. */
  private static final long OBSERVATION_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

  private final Map<StartEvidence, Long> observedAt = new EnumMap<>(StartEvidence.class);
  private Optional<Incarnation> crashed = Optional.empty();
  private double suspicion;
  private long suspicionAt;
  private long doubtedSince;
  private OptionalLong faultSeenAt = OptionalLong.empty();
  private int failuresInRow;
  private OptionalLong failedStart = OptionalLong.empty();
  private OptionalLong provenSince = OptionalLong.empty();
  private OptionalLong endedAt = OptionalLong.empty();

  /** Returns the logarithm of the factor by which evidence multiplies the odds of a fault. */
  double suspicion(long nowNanos) {
    double seconds = (nowNanos - suspicionAt) / NANOS_PER_SECOND;
    return Math.max(0, suspicion - seconds * DECAY_PER_SECOND);
  }

  private void setSuspicion(double value, long nowNanos) {
    suspicion = Math.clamp(value, 0, MAX_SUSPICION);
    suspicionAt = nowNanos;
  }

  /**
   * Adds evidence against the executor.
   *
   * @param faultAt when the fault that it shows was present
   */
  void accuse(double weight, long faultAt, long nowNanos) {
    setSuspicion(suspicion(nowNanos) + weight, nowNanos);
    faultSeenAt = newer(faultSeenAt, faultAt);
    doubtedSince = nowNanos;
  }

  /**
   * Adds an observation about an incarnation. One of each kind counts per second, and one crash per
   * incarnation whose start time is known.
   *
   * @return whether it counts
   */
  boolean observed(Incarnation incarnation, StartEvidence evidence, long nowNanos) {
    Long last = observedAt.get(evidence);
    if (last != null && nowNanos - last < OBSERVATION_PERIOD_NANOS) {
      return false;
    }
    if (evidence == StartEvidence.CRASHED) {
      boolean dated = incarnation.bornMillis().isPresent();
      if (dated && crashed.filter(incarnation::equals).isPresent()) {
        return false;
      }
      crashed = Optional.of(incarnation);
    }
    observedAt.put(evidence, nowNanos);
    accuse(evidence.weight(), nowNanos, nowNanos);
    return true;
  }

  /** Takes an observation back if it was counted within the last second. */
  void takeBack(StartEvidence evidence, long nowNanos) {
    Long last = observedAt.remove(evidence);
    if (last != null && nowNanos - last < OBSERVATION_PERIOD_NANOS) {
      exonerate(evidence.weight(), nowNanos);
    }
  }

  /** Takes evidence back that turned out to have another cause. */
  void exonerate(double weight, long nowNanos) {
    setSuspicion(suspicion(nowNanos) - weight, nowNanos);
  }

  /**
   * Records a run that failed.
   *
   * @param startedAt when the run was started
   */
  void failed(double weight, long startedAt, long nowNanos) {
    accuse(weight, StepFailures.faultAt(startedAt, nowNanos), nowNanos);
    failuresInRow++;
    failedStart = newer(failedStart, startedAt);
    provenSince = OptionalLong.empty();
    endedAt = OptionalLong.of(nowNanos);
  }

  /**
   * Records a run that ended well. One that was started before the last failed run shows nothing
   * about the time since then.
   *
   * @param startedAt when the run was started
   */
  void succeeded(long startedAt, long nowNanos) {
    endedAt = OptionalLong.of(nowNanos);
    if (failedStart.isPresent() && startedAt - failedStart.getAsLong() < 0) {
      return;
    }
    provenSince = newer(provenSince, startedAt);
    setSuspicion(suspicion(nowNanos) - SUCCESS_WEIGHT, nowNanos);
    failuresInRow = 0;
  }

  private static OptionalLong newer(OptionalLong known, long nanos) {
    return known.isPresent() && known.getAsLong() - nanos > 0 ? known : OptionalLong.of(nanos);
  }

  /**
   * Returns how long the executor gets no runs at all after its latest failure: at most until the
   * fault that it shows is over.
   */
  Duration backoff(long nowNanos) {
    int doublings = Math.clamp(failuresInRow - 1, 0, MAX_BACKOFF_DOUBLINGS);
    long faultLeft = faultSeenAt.orElse(nowNanos) + FailureWave.FAULT_NANOS - nowNanos;
    Duration faultEnd = Duration.ofNanos(Math.max(0, faultLeft));
    Duration usual = FIRST_BACKOFF.multipliedBy(1L << doublings);
    return usual.compareTo(faultEnd) < 0 ? usual : faultEnd;
  }

  /** Returns when the fault that the latest evidence shows was present; empty without evidence. */
  OptionalLong faultSeenAt() {
    return faultSeenAt;
  }

  long doubtedSince() {
    return doubtedSince;
  }

  /** Returns when the newest run that ended well was started; empty if none did since a failure. */
  OptionalLong provenSince() {
    return provenSince;
  }

  /** Tells whether a run that was started after a time has ended well, and none failed since. */
  boolean provenAfter(long nanos) {
    return provenSince.isPresent() && provenSince.getAsLong() - nanos >= 0;
  }

  /** Tells whether there was no evidence for a period, and none counts against the executor. */
  boolean outdated(long periodNanos, long nowNanos) {
    return suspicion(nowNanos) == 0 && !endedWithin(periodNanos, nowNanos);
  }

  /** Tells whether a run has ended within a period before now. */
  boolean endedWithin(long periodNanos, long nowNanos) {
    return endedAt.isPresent() && nowNanos - endedAt.getAsLong() < periodNanos;
  }
}
