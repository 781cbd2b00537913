package org.fescuehook.logic.batch.executor;

import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;

/** Hears what executors say of runs. */
public interface RunListener {

  /**
   * A run that holds capacity has ended; the capacity is free.
   *
   * @param stored to be held until what follows from the end is stored
   */
  void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context);

  /** A run that the owner had given up, or never knew, has ended. */
  void strayEnded(EndedRun end, Countdown stored, BatchContext context);

  /** A run is known not to be alive, and no end of it was seen; its capacity is free. */
  void lost(LiveRun run, String cause, BatchContext context);

  /** The same, as its executor is lost; the run may have caused that. */
  void lostWithExecutor(LiveRun run, CrashEvidence evidence, BatchContext context);

  /** An executor rejected a start; it has not run and will not. Its capacity is free. */
  void rejected(LiveRun run, Rejection rejection, BatchContext context);

  /** No order to start a run was sent; it has not run and will not. Its capacity is free. */
  void unsent(LiveRun run, BatchContext context);

  /** A start had no answer several times and is being stopped. */
  void startGivenUp(LiveRun run, BatchContext context);

  /** A report lists a run that a former owner had placed. */
  void foundRunning(LiveRun run, BatchContext context);

  /** A run has saved progress. */
  void saved(LiveRun run, String checkpoint);

  /** A run hardly progresses on an executor that looks slow, and would be done sooner elsewhere. */
  void stoodStill(LiveRun run, BatchContext context);

  /** An executor is about to leave. */
  void leaving(ExecutorState executor, BatchContext context);

  /** An executor has seen a higher epoch: this VM owns no longer. */
  void fenced(BatchContext context);
}
