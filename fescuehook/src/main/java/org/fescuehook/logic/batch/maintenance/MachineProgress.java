package org.fescuehook.logic.batch.maintenance;

import java.util.Optional;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.ExecutorId;

/** How far the maintenance of one machine for one wave is. */
final class MachineProgress {

  private final WaveId wave;
  private final MachineId machine;
  private Stage stage = Stage.PENDING;
  private Optional<ExecutorId> executor = Optional.empty();
  private boolean wanted = true;
  private boolean mayHaveBegun;
  private boolean callInFlight;
  private boolean notInWave;
  private long uncertainSince;
  private boolean back;
  private long callNumber;
  private long sentAt;
  private int tries;
  private int attempt;
  private long stageSince;
  private long closedAt;
  private long notBefore;

  /** The stages, in their order. */
  enum Stage {
    /** Its maintenance has not begun, and its executor is open to runs. */
    PENDING,
    /** Its executor gets no new runs; those that it has end or are stopped. */
    CLOSED,
    /** It is being stored that its maintenance is about to be called. */
    STORING,
    /** The call may be sent, or may have been sent. */
    CALLED,
    /** The maintenance has begun. */
    BEGUN
  }

  MachineProgress(WaveId wave, MachineId machine, long nowNanos) {
    this.wave = wave;
    this.machine = machine;
    this.stageSince = nowNanos;
    this.notBefore = nowNanos;
  }

  /** Restores what a former owner stored; a call that it did not confirm may be carried out. */
  void restore(WaveCodec.StoredMachine before, long nowNanos) {
    executor = Optional.of(before.executor());
    closedAt = nowNanos;
    mayHaveBegun = true;
    uncertainSince = nowNanos;
    enter(before.begun() ? Stage.BEGUN : Stage.CALLED, nowNanos);
  }

  WaveId wave() {
    return wave;
  }

  MachineId machine() {
    return machine;
  }

  Stage stage() {
    return stage;
  }

  boolean in(Stage other) {
    return stage == other;
  }

  /** Returns when the stage began, monotonic time. */
  long stageSince() {
    return stageSince;
  }

  /** Returns when its executor was closed last, monotonic time. */
  long closedAt() {
    return closedAt;
  }

  /** Returns the executor that the machine ran when it was closed. */
  Optional<ExecutorId> executor() {
    return executor;
  }

  /** Tells whether the wave still names the machine. */
  boolean wanted() {
    return wanted;
  }

  void setWanted(boolean nowWanted) {
    wanted = nowWanted;
  }

  /** Tells whether a call without an answer may have been carried out, or may yet be. */
  boolean mayHaveBegun() {
    return mayHaveBegun;
  }

  /** Returns when the last call was sent that may have been carried out, monotonic time. */
  long uncertainSince() {
    return uncertainSince;
  }

  /** Records that the last call was refused as the machine is not part of the wave. */
  void notInWave() {
    notInWave = true;
  }

  /** Tells whether the last call was refused as the machine is not part of the wave. */
  boolean refusedAsNotInWave() {
    return notInWave;
  }

  boolean callInFlight() {
    return callInFlight;
  }

  /** Returns the number of calls sent in this stage. */
  int tries() {
    return tries;
  }

  /** Returns when the last call was sent, monotonic time. */
  long sentAt() {
    return sentAt;
  }

  /** Tells whether the machine may be chosen, or called again, by now. */
  boolean due(long nowNanos) {
    return nowNanos - notBefore >= 0;
  }

  /**
   * Tells whether the machine counts as away because of this wave: its maintenance has been called,
   * may be called at any moment, or may have been, and it has not been seen up again.
   */
  boolean away() {
    return stage == Stage.STORING || stage == Stage.CALLED || (stage == Stage.BEGUN && !back);
  }

  /** Tells whether its executor gets no new runs. */
  boolean closed() {
    return stage == Stage.CLOSED || away();
  }

  private void enter(Stage next, long nowNanos) {
    stage = next;
    stageSince = nowNanos;
    tries = 0;
  }

  /** Closes the executor that the machine runs at present. */
  void close(Machine listed, long nowNanos) {
    executor = listed.executor();
    closedAt = nowNanos;
    enter(Stage.CLOSED, nowNanos);
  }

  /** Opens the executor of the machine again, which may be chosen again after a pause. */
  void reopen(long pauseNanos, long nowNanos) {
    enter(Stage.PENDING, nowNanos);
    mayHaveBegun = false;
    callInFlight = false;
    notInWave = false;
    notBefore = nowNanos + pauseNanos;
  }

  /** Begins to store that a call is about to be made; returns the number of this attempt. */
  int storing(long nowNanos) {
    enter(Stage.STORING, nowNanos);
    attempt++;
    return attempt;
  }

  /** Records that the given attempt is stored, so that the call may be sent. */
  void storedBeforeCall(int storedAttempt, long nowNanos) {
    if (stage == Stage.STORING && attempt == storedAttempt) {
      enter(Stage.CALLED, nowNanos);
      notBefore = nowNanos;
    }
  }

  void called(long number, long nowNanos) {
    callNumber = number;
    callInFlight = true;
    notInWave = false;
    sentAt = nowNanos;
    tries++;
  }

  /** Tells whether an outcome is that of the last call. */
  boolean awaits(long number) {
    return callInFlight && callNumber == number;
  }

  /** Records that the last call was not carried out, and when it may be repeated. */
  void notCarriedOut(long pauseNanos, long nowNanos) {
    callInFlight = false;
    notBefore = nowNanos + pauseNanos;
  }

  /** Records that the last call had no answer. */
  void unanswered(long pauseNanos, long nowNanos) {
    mayHaveBegun = true;
    uncertainSince = sentAt;
    notCarriedOut(pauseNanos, nowNanos);
  }

  void begun(long nowNanos) {
    callInFlight = false;
    back = false;
    enter(Stage.BEGUN, nowNanos);
  }

  /** Records that nothing more is to be done, as an earlier owner found. */
  void settle(long nowNanos) {
    enter(Stage.BEGUN, nowNanos);
    back = true;
  }

  /** Tells whether its maintenance has begun and it has not been seen up again. */
  boolean awaitsReturn() {
    return stage == Stage.BEGUN && !back;
  }

  /** Records that it was seen up again after its maintenance, or that it no longer exists. */
  void returned() {
    back = true;
  }
}
