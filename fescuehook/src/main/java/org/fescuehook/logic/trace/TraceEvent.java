package org.fescuehook.logic.trace;

import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;

/** Something that happened, with its time in milliseconds since the beginning of the trace. */
public sealed interface TraceEvent {

  /** Returns the time in milliseconds since the beginning of the trace. */
  long atMillis();

  /** A job was submitted. Its time of submission counts from the beginning of the trace. */
  record Submitted(Job job, JobBehaviour course) implements TraceEvent {

    @Override
    public long atMillis() {
      return job.submittedMillis();
    }
  }

  /** A job was cancelled. */
  record Cancelled(long atMillis, JobId job) implements TraceEvent {}

  /** A worker went silent; its tasks end when their leases lapse. */
  record Lapsed(long atMillis, WorkerId worker) implements TraceEvent {}

  /** A silent or leaving worker takes work again. */
  record Returned(long atMillis, WorkerId worker) implements TraceEvent {}

  /** A worker takes nothing new; its tasks go on. */
  record Leaving(long atMillis, WorkerId worker) implements TraceEvent {}

  /** A worker begins to fail each task after so many seconds. */
  record Failing(long atMillis, WorkerId worker, long afterSeconds) implements TraceEvent {}

  /** A worker no longer fails its tasks. */
  record Recovered(long atMillis, WorkerId worker) implements TraceEvent {}
}
