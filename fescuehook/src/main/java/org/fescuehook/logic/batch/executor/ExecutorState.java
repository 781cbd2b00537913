package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.Incarnation;

/** What the owner knows of one life of an executor. */
public final class ExecutorState {

  /** How long a poll is put off for ends that are being stored; an append takes some 10 ms. */
  private static final long STORE_PATIENCE_NANOS = Duration.ofMillis(80).toNanos();

  /** How long an executor that has crashed may be about to crash again. */
  private static final long LATELY_NANOS = Duration.ofSeconds(30).toNanos();

  private ExecutorProfile profile;
  private Incarnation incarnation;
  private final OrderBaseline mark;
  private final Optional<PreviousIncarnation> formerLife;
  private final Map<TaskRun, LiveRun> runs = new LinkedHashMap<>();
  private Demand used = Demand.NONE;
  private boolean listed = true;
  private boolean known;
  private int missedPolls;
  private boolean doubted;
  private OptionalLong answeredAt = OptionalLong.empty();
  private OptionalLong silentSince = OptionalLong.empty();
  private OptionalLong restartedAt = OptionalLong.empty();
  private Optional<PollUnderWay> poll = Optional.empty();
  private long nextPollAt;
  private LeaseTracker lease = new LeaseTracker();
  private final RunEndTracker ends = new RunEndTracker();
  private long restUntil;
  private boolean resting;
  private boolean runsUnknown;
  private int failuresInRow;
  private final SlownessDetector speed = new SlownessDetector();

  /**
   * A poll that has not been answered.
   *
   * @param number number of the order
   * @param sentAt monotonic time
   */
  public record PollUnderWay(long number, long sentAt) {}

  /**
   * Creates the state of an executor that has not been asked anything.
   *
   * @param mark where the orders to it begin
   */
  public ExecutorState(ExecutorProfile profile, OrderBaseline mark) {
    this(profile, profile.incarnation(), mark, Optional.empty());
  }

  private ExecutorState(
      ExecutorProfile profile,
      Incarnation incarnation,
      OrderBaseline mark,
      Optional<PreviousIncarnation> formerLife) {
    this.profile = profile;
    this.incarnation = incarnation;
    this.mark = mark;
    this.formerLife = formerLife;
  }

  /** Creates the state of the next life of the same executor, which has not been asked anything. */
  ExecutorState successor(Incarnation next, PreviousIncarnation former, OrderBaseline first) {
    ExecutorState executor = new ExecutorState(profile, next, first, Optional.of(former));
    executor.listed = listed;
    executor.lease = new LeaseTracker(lease.untilNanos());
    return executor;
  }

  /** Returns how the executor describes itself. */
  public ExecutorProfile profile() {
    return profile;
  }

  /** Returns which life of the executor it is. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Takes in when this life began, if that was not known. */
  void datedBy(OptionalLong bornMillis) {
    incarnation = incarnation.datedBy(bornMillis);
  }

  /** Returns the life before this one; absent if none is known that had the same id. */
  Optional<PreviousIncarnation> formerLife() {
    return formerLife;
  }

  /** Returns where the orders to it begin. */
  OrderBaseline mark() {
    return mark;
  }

  /** Takes a newer description. */
  public void describe(ExecutorProfile newer) {
    profile = newer;
    listed = true;
  }

  /** Tells whether the executor is on the list. */
  public boolean listed() {
    return listed;
  }

  /** Remembers that it is no longer on the list. */
  public void unlisted() {
    listed = false;
  }

  /** Returns the runs that may be alive there. */
  public Collection<LiveRun> runs() {
    return runs.values();
  }

  /** Finds a run that may be alive there. */
  public Optional<LiveRun> run(TaskRun run) {
    return Optional.ofNullable(runs.get(run));
  }

  /** Reserves capacity for a run. */
  public void add(LiveRun run) {
    if (runs.put(run.run(), run) == null) {
      used = used.plus(run.demand());
    }
  }

  /** Frees the capacity of a run. */
  public void remove(LiveRun run) {
    if (runs.remove(run.run(), run)) {
      used = used.minus(run.demand());
    }
  }

  /** Remembers whether the newest report lists a run that the owner does not know. */
  void unknownRunsSeen(boolean seenAny) {
    runsUnknown = seenAny;
  }

  /**
   * Tells whether it may run something that the owner does not know, such as a start that arrived
   * after its job was cancelled. It is looked at until a report lists none.
   */
  public boolean runsUnknown() {
    return runsUnknown;
  }

  /** Returns what is not reserved. */
  public Demand free() {
    return profile.capacity().minus(used);
  }

  /** Tells whether its capacity, which may have shrunk, no longer covers what is reserved. */
  boolean overbooked() {
    return !profile.capacity().contains(used);
  }

  /**
   * Tells whether new runs may be placed there now. Not beside a run that the owner does not know,
   * which takes room until it has ended, nor while its entry describes another life, which may have
   * been of another kind.
   */
  public boolean usable(long nowNanos) {
    boolean described = !profile.incarnation().differsFrom(incarnation);
    boolean answers = listed && described && calm();
    return answers && !runsUnknown && !profile.leaving() && !rests(nowNanos);
  }

  /** Tells whether it has answered this owner. */
  public boolean known() {
    return known;
  }

  /** Tells whether it has answered this owner's last poll, and nothing contradicts that answer. */
  boolean calm() {
    return known && missedPolls == 0 && !doubted;
  }

  /** Remembers that an answer contradicts what is known, so that it is polled before it is used. */
  void doubt() {
    doubted = true;
  }

  /** Tells whether an answer contradicts what is known and no poll has been answered since. */
  boolean doubted() {
    return doubted;
  }

  /** Returns since when a poll is due, monotonic time. */
  long nextPollAt() {
    return nextPollAt;
  }

  /** Returns how many polls in a row had no answer. */
  public int missedPolls() {
    return missedPolls;
  }

  /** Returns the poll under way. */
  public Optional<PollUnderWay> poll() {
    return poll;
  }

  /**
   * Tells whether a poll is due. While ends wait to be stored none is, for a moment: it would be
   * answered at once with the same ends.
   */
  public boolean pollDue(long nowNanos) {
    boolean waits = ends.unstored() && missedPolls == 0;
    long notBefore = waits ? nextPollAt + STORE_PATIENCE_NANOS : nextPollAt;
    return poll.isEmpty() && nowNanos - notBefore >= 0;
  }

  /**
   * Remembers that a poll was sent.
   *
   * @param acknowledged the number up to which it acknowledges ends
   */
  public void pollSent(long number, long acknowledged, long nowNanos) {
    poll = Optional.of(new PollUnderWay(number, nowNanos));
    ends.sent(acknowledged);
  }

  /** Remembers that the poll was answered. */
  public void pollAnswered(long nowNanos) {
    poll = Optional.empty();
    ends.answered();
    known = true;
    doubted = false;
    missedPolls = 0;
    answeredAt = OptionalLong.of(nowNanos);
    silentSince = OptionalLong.empty();
    nextPollAt = nowNanos;
  }

  /** Remembers that the poll had no answer. */
  public void pollMissed(long nowNanos, long pauseNanos) {
    poll = Optional.empty();
    ends.missed();
    missedPolls++;
    nextPollAt = nowNanos + pauseNanos;
    if (silentSince.isEmpty()) {
      silentSince = OptionalLong.of(nowNanos);
    }
  }

  /** Remembers that the life before it, at the same address, is known to have crashed. */
  void restarted(long nowNanos) {
    restartedAt = OptionalLong.of(nowNanos);
  }

  /** Tells whether it crashed not long ago, and so may crash again by itself. */
  public boolean restartedLately(long nowNanos) {
    return restartedAt.isPresent() && !longAgo(restartedAt.getAsLong(), nowNanos);
  }

  /** Tells whether a crash says nothing any more of the executor at its address. */
  static boolean longAgo(long crashedAt, long nowNanos) {
    return nowNanos - crashedAt >= LATELY_NANOS;
  }

  /** Returns since when polls have had no answer, monotonic time; absent while they have. */
  public OptionalLong silentSince() {
    return silentSince;
  }

  /** Returns when it last answered a poll, monotonic time; absent if it did not. */
  OptionalLong answeredAt() {
    return answeredAt;
  }

  /** Returns its clock and its leases. */
  public LeaseTracker lease() {
    return lease;
  }

  /** Returns which of its ends have been read, stored and acknowledged. */
  RunEndTracker ends() {
    return ends;
  }

  /** Counts a run that failed here; returns how many have failed since one was done. */
  public int failed() {
    failuresInRow++;
    return failuresInRow;
  }

  /** Returns what its runs have shown of its speed. */
  public SlownessDetector speed() {
    return speed;
  }

  /** Tells whether a run has failed here and none was done since, or its runs hardly progress. */
  public boolean suspect(long nowNanos) {
    return failuresInRow > 0 || speed.slow(nowNanos);
  }

  /** Remembers that a run was done here. */
  public void succeeded() {
    failuresInRow = 0;
  }

  /** Gives it nothing new for a while. */
  public void rest(Duration length, String cause, BatchTurn turn) {
    resting = true;
    restUntil = turn.nowNanos() + length.toNanos();
    turn.note(BatchLogEvent.EXECUTOR_RESTED, incarnation, length.toMillis(), cause);
  }

  private boolean rests(long nowNanos) {
    if (resting && nowNanos - restUntil >= 0) {
      resting = false;
    }
    return resting;
  }
}
