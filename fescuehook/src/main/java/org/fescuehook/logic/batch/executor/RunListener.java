package org.fescuehook.logic.batch.executor;

import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;

/** Receives what executors report about runs. */
public interface RunListener {

  /**
   * A run that held capacity has ended; its capacity is free.
   *
   * @param stored held until the results of the end are stored
   */
  void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context);

  /**
   * A run has ended that the owner had given up, or never knew.
   *
   * @param stored held until the results of the end are stored
   */
  void strayEnded(EndedRun end, Countdown stored, BatchContext context);

  /** A run cannot be alive any more, and its end was not seen; its capacity is free. */
  void lost(LiveRun run, String cause, BatchContext context);

  /**
   * A run is lost together with its executor; its capacity is free.
   *
   * @param evidence how strongly the loss suggests that the run caused it
   */
  void lostWithExecutor(LiveRun run, CrashEvidence evidence, BatchContext context);

  /** A sign shows what became of an executor, which may have been lost before. */
  void observed(ExecutorSign sign, BatchContext context);

  /**
   * An executor rejected the start of a run, which has not run and will not. Its capacity is free.
   */
  void startRejected(LiveRun run, Rejection rejection, BatchContext context);

  /**
   * None of the start orders of a run was sent, so it has not run and will not. Its capacity is
   * free.
   */
  void startNotSent(LiveRun run, BatchContext context);

  /** The start orders of a run were not answered several times; the run is being stopped. */
  void startGivenUp(LiveRun run, BatchContext context);

  /** An executor lists a run that a former owner had placed. */
  void foundRunning(LiveRun run, BatchContext context);

  /** A run has saved its progress. */
  void checkpointSaved(LiveRun run, String checkpoint);

  /**
   * A run makes little progress on an executor that appears slow, and would end sooner elsewhere.
   */
  void runStalled(LiveRun run, BatchContext context);

  /** An executor is about to leave. */
  void leaving(ExecutorState executor, BatchContext context);

  /**
   * An executor has rejected an order because it knows a higher epoch, so this VM no longer is the
   * owner.
   */
  void fenced(BatchContext context);
}
