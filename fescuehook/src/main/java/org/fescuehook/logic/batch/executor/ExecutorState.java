package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.Incarnation;

/** The state of one incarnation of an executor as the owner knows it. */
public final class ExecutorState {

  /**
   * Longest time for which a poll is delayed because run ends are being stored; an append takes
   * about 10 ms.
   */
  private static final long MAX_STORE_WAIT_NANOS = Duration.ofMillis(80).toNanos();

  private ExecutorProfile profile;
  private Incarnation incarnation;
  private final OrderBaseline baseline;
  private final Optional<PreviousIncarnation> previousIncarnation;
  private final Map<TaskRun, LiveRun> runs = new LinkedHashMap<>();
  private ResourceVector reserved = ResourceVector.NONE;
  private boolean listed = true;
  private boolean evacuated;
  private boolean inMaintenance;
  private boolean reached;
  private int missedPolls;
  private boolean silent;
  private final UnansweredOrders unansweredOrders = new UnansweredOrders();
  private boolean unconfirmed;
  private OptionalLong answeredAt = OptionalLong.empty();
  private OptionalLong silentSince = OptionalLong.empty();
  private final LastCrash lastCrash = new LastCrash();
  private Optional<PollInFlight> poll = Optional.empty();
  private long nextPollAt;
  private LeaseTracker lease = new LeaseTracker();
  private final RunEndTracker runEnds = new RunEndTracker();
  private final Backoff backoff = new Backoff();
  private boolean hasUnknownRuns;
  private int failuresInRow;
  private final SlownessDetector slowness = new SlownessDetector();

  /**
   * Creates the state of an executor that has not been polled.
   *
   * @param baseline where the orders to it begin
   */
  public ExecutorState(ExecutorProfile profile, OrderBaseline baseline) {
    this(profile, profile.incarnation(), baseline, Optional.empty());
  }

  private ExecutorState(
      ExecutorProfile profile,
      Incarnation incarnation,
      OrderBaseline baseline,
      Optional<PreviousIncarnation> previousIncarnation) {
    this.profile = profile;
    this.incarnation = incarnation;
    this.baseline = baseline;
    this.previousIncarnation = previousIncarnation;
  }

  /** Creates the state of the next incarnation of the same executor, which has not been polled. */
  ExecutorState nextIncarnation(
      Incarnation next, PreviousIncarnation previous, OrderBaseline baseline) {
    ExecutorState executor = new ExecutorState(profile, next, baseline, Optional.of(previous));
    executor.listed = listed;
    executor.evacuated = evacuated;
    executor.inMaintenance = inMaintenance;
    executor.lease = new LeaseTracker(lease.expiryNanos());
    return executor;
  }

  /** Returns the profile that the executor published. */
  public ExecutorProfile profile() {
    return profile;
  }

  /** Returns the incarnation of the executor that this state describes. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Sets when this incarnation started, if that was unknown. */
  void datedBy(OptionalLong bornMillis) {
    incarnation = incarnation.withStart(bornMillis);
  }

  /** Returns the incarnation before this one; absent if none with the same id is known. */
  Optional<PreviousIncarnation> previousIncarnation() {
    return previousIncarnation;
  }

  /** Returns where the orders to this incarnation begin. */
  OrderBaseline baseline() {
    return baseline;
  }

  /** Replaces the profile by a newer one, which also shows that the executor is listed. */
  public void updateProfile(ExecutorProfile newer) {
    profile = newer;
    listed = true;
  }

  /** Tells whether the executor is listed in the store. */
  public boolean listed() {
    return listed;
  }

  /** Records that the executor is no longer listed. */
  public void markUnlisted() {
    listed = false;
  }

  /** Records whether the failure domain of the executor is evacuated. */
  void setEvacuated(boolean nowEvacuated) {
    evacuated = nowEvacuated;
  }

  /** Tells whether the failure domain of the executor is evacuated, so that no run may start. */
  public boolean evacuated() {
    return evacuated;
  }

  /** Sets whether the machine of the executor is about to go through maintenance. */
  public void setInMaintenance(boolean nowInMaintenance) {
    inMaintenance = nowInMaintenance;
  }

  /** Tells whether no start may be ordered any more, not even one that was ordered before. */
  boolean closedToStarts() {
    return profile.leaving() || evacuated || inMaintenance;
  }

  /** Tells whether the executor is listed, and neither leaving, evacuated nor in maintenance. */
  public boolean inService() {
    return listed && !closedToStarts();
  }

  /** Returns the runs that may be alive on this executor. */
  public Collection<LiveRun> runs() {
    return runs.values();
  }

  /** Returns how many tasks of a step may be alive on this executor. */
  public int countTasks(StepProgress step) {
    return (int) runs.values().stream().filter(run -> run.step() == step).count();
  }

  /** Finds a run that may be alive on this executor. */
  public Optional<LiveRun> run(TaskRun run) {
    return Optional.ofNullable(runs.get(run));
  }

  /** Reserves capacity for a run. */
  public void add(LiveRun run) {
    if (runs.put(run.run(), run) == null) {
      reserved = reserved.plus(run.demand());
    }
  }

  /** Frees the capacity of a run. */
  public void remove(LiveRun run) {
    if (runs.remove(run.run(), run)) {
      reserved = reserved.minus(run.demand());
    }
  }

  /** Records whether the newest report lists runs that the owner does not know. */
  void setHasUnknownRuns(boolean present) {
    hasUnknownRuns = present;
  }

  /**
   * Tells whether the executor may have runs that the owner does not know, such as one whose start
   * order arrived after its job was cancelled. It is polled until a report lists none.
   */
  public boolean hasUnknownRuns() {
    return hasUnknownRuns;
  }

  /** Returns the capacity that is not reserved. */
  public ResourceVector free() {
    return profile.capacity().minus(reserved);
  }

  /** Tells whether the reservations exceed the capacity, which may have shrunk. */
  boolean overbooked() {
    return !profile.capacity().contains(reserved);
  }

  /**
   * Tells whether new runs may be placed here now. They may not while the failure domain is
   * evacuated, while a run that the owner does not know is here, which takes capacity until it has
   * ended, nor while the profile is that of another incarnation, whose properties may have
   * differed.
   */
  public boolean usable(long nowNanos) {
    return !evacuated && usableOnceGivenBack(nowNanos);
  }

  /** Tells whether new runs could be placed here now if the failure domain were not evacuated. */
  public boolean usableOnceGivenBack(long nowNanos) {
    boolean described = !profile.incarnation().differsFrom(incarnation);
    boolean available = listed && described && presumedAlive() && !inMaintenance;
    return available && !hasUnknownRuns && !profile.leaving() && !resting(nowNanos);
  }

  /** Tells whether the executor is excluded from new placements for a while. */
  public boolean resting(long nowNanos) {
    return backoff.active(nowNanos);
  }

  /** Tells whether the executor has ever answered this owner. */
  public boolean reached() {
    return reached;
  }

  /**
   * Tells whether the executor answered the last poll of this owner and no later answer contradicts
   * it.
   */
  boolean responsive() {
    return reached && missedPolls == 0 && !unconfirmed;
  }

  /** Tells whether so many polls in a row were not answered that the executor may be gone. */
  public boolean silent() {
    return silent;
  }

  /**
   * Tells whether the executor has answered this owner, no later answer contradicts that, and no
   * more polls have gone unanswered since than may have been lost.
   */
  public boolean presumedAlive() {
    return reached && !silent && !unconfirmed;
  }

  /**
   * Records that an answer contradicts what is known, so that the executor is polled again before
   * it is used.
   */
  void markUnconfirmed() {
    unconfirmed = true;
  }

  /** Tells whether an answer contradicts what is known and no poll has been answered since. */
  boolean unconfirmed() {
    return unconfirmed;
  }

  /** Returns the time from which on the next poll is due, monotonic. */
  long nextPollAt() {
    return nextPollAt;
  }

  /** Returns the number of consecutive polls that were not answered. */
  public int missedPolls() {
    return missedPolls;
  }

  /** Returns the poll in flight. */
  public Optional<PollInFlight> poll() {
    return poll;
  }

  /**
   * Tells whether a poll is due. While run ends are being stored it is delayed for a moment, since
   * the executor would return the same ends again at once.
   */
  public boolean pollDue(long nowNanos) {
    boolean waits = runEnds.hasUnstored() && missedPolls == 0;
    long notBefore = waits ? nextPollAt + MAX_STORE_WAIT_NANOS : nextPollAt;
    return poll.isEmpty() && nowNanos - notBefore >= 0;
  }

  /**
   * Records that a poll was sent.
   *
   * @param acknowledged the number up to which it acknowledges ends
   */
  public void pollSent(long number, long acknowledged, long nowNanos) {
    poll = Optional.of(new PollInFlight(number, nowNanos));
    runEnds.acknowledgementSent(acknowledged);
  }

  /** Records that the poll was answered. */
  public void pollAnswered(long nowNanos) {
    poll = Optional.empty();
    runEnds.acknowledgementConfirmed();
    reached = true;
    unconfirmed = false;
    missedPolls = 0;
    silent = false;
    answeredAt = OptionalLong.of(nowNanos);
    silentSince = OptionalLong.empty();
    nextPollAt = nowNanos;
  }

  /**
   * Records that the poll was not answered.
   *
   * @param pauseNanos delay of the next poll
   * @param nowSilent whether so many polls are unanswered that the executor may be gone
   */
  public void pollMissed(long nowNanos, long pauseNanos, boolean nowSilent) {
    poll = Optional.empty();
    runEnds.acknowledgementLost();
    missedPolls++;
    silent = silent || nowSilent;
    nextPollAt = nowNanos + pauseNanos;
    if (silentSince.isEmpty()) {
      silentSince = OptionalLong.of(nowNanos);
    }
  }

  /** Returns the orders to it that were not answered since the last answer. */
  public UnansweredOrders unansweredOrders() {
    return unansweredOrders;
  }

  /** Records that the previous incarnation at the same address is known to have crashed. */
  void restarted(long nowNanos) {
    lastCrash.crashed(nowNanos);
  }

  /** Tells whether the executor crashed recently, so that it may well crash again on its own. */
  public boolean recentlyRestarted(long nowNanos) {
    return lastCrash.recent(nowNanos);
  }

  /**
   * Returns since when polls have not been answered, monotonic time; absent if the last one was.
   */
  public OptionalLong silentSince() {
    return silentSince;
  }

  /** Returns when the last poll was answered, monotonic time; absent if none was. */
  OptionalLong answeredAt() {
    return answeredAt;
  }

  /** Returns the leases on this executor. */
  public LeaseTracker lease() {
    return lease;
  }

  /** Returns which run ends of this executor have been read, stored and acknowledged. */
  RunEndTracker runEnds() {
    return runEnds;
  }

  /**
   * Counts a run that failed here.
   *
   * @return how many runs have failed since one was done here
   */
  public int failed() {
    failuresInRow++;
    return failuresInRow;
  }

  /** Returns the detector that tells from its runs whether the executor is slow. */
  public SlownessDetector slowness() {
    return slowness;
  }

  /** Tells whether a run has failed here and none was done since, or the executor is slow. */
  public boolean suspect(long nowNanos) {
    return failuresInRow > 0 || slowness.slow(nowNanos);
  }

  /** Records that a run was done here. */
  public void succeeded() {
    failuresInRow = 0;
  }

  /**
   * Excludes the executor from new placements for a while.
   *
   * @param cause reason, for the log
   */
  public void backOff(Duration length, String cause, BatchContext context) {
    backoff.begin(length, context.nowNanos());
    context.note(BatchLogEvent.EXECUTOR_RESTED, incarnation, length.toMillis(), cause);
  }
}
