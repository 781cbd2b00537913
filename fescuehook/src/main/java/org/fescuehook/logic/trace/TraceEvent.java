package org.fescuehook.logic.trace;

import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;

/** An event of a trace, with its time in milliseconds since the beginning of the trace. */
public sealed interface TraceEvent {

  /** Returns the time in milliseconds since the beginning of the trace. */
  long atMillis();

  /** A job was submitted. Its submission time is relative to the beginning of the trace. */
  record Submitted(Job job, JobBehaviour behaviour) implements TraceEvent {

    @Override
    public long atMillis() {
      return job.submittedMillis();
    }
  }

  /** A job was cancelled. */
  record Cancelled(long atMillis, JobId job) implements TraceEvent {}

  /** A worker stopped responding; its tasks end when their leases expire. */
  record Lapsed(long atMillis, WorkerId worker) implements TraceEvent {}

  /** A worker that did not respond or was leaving accepts work again. */
  record Returned(long atMillis, WorkerId worker) implements TraceEvent {}

  /** A worker accepts no new work; its tasks keep running. */
  record Leaving(long atMillis, WorkerId worker) implements TraceEvent {}

  /** A worker starts to fail each of its tasks after the given run time. */
  record Failing(long atMillis, WorkerId worker, long afterSeconds) implements TraceEvent {}

  /** A failing worker stops failing its tasks. */
  record Recovered(long atMillis, WorkerId worker) implements TraceEvent {}
}
