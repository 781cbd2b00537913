package org.fescuehook.logic.control.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.ownership.CatchUpTracker;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;

/**
 * Delays requests about jobs that this VM does not know. Another VM may just have accepted the job,
 * so a request is not refused as not found before this VM had time to read the job's record, nor
 * while the log cannot be read.
 */
final class UnknownJobHandler {
  /** Longest time that a request waits until its job is known. */
  private static final Duration MAX_WAIT = Duration.ofMillis(500);

  /** A request whose job is known by now. */
  record Found(long ticket, Request request) {}

  private record Waiter(long ticket, JobId job, Request request, long sinceNanos) {}

  private final CatchUpTracker catchUp;
  private final List<Waiter> waiters = new ArrayList<>();

  UnknownJobHandler(CatchUpTracker catchUp) {
    this.catchUp = catchUp;
  }

  void accept(long ticket, JobId job, Request request, DecisionContext context) {
    waiters.add(new Waiter(ticket, job, request, context.nowNanos()));
  }

  /** Refuses requests whose wait timed out; returns the requests whose jobs are known by now. */
  List<Found> step(ControlState state, DecisionContext context) {
    List<Found> found = new ArrayList<>();
    Iterator<Waiter> entries = waiters.iterator();
    while (entries.hasNext()) {
      Waiter waiter = entries.next();
      if (state.jobs().find(waiter.job()).isPresent()) {
        found.add(new Found(waiter.ticket(), waiter.request()));
        entries.remove();
      } else if (context.hasElapsed(waiter.sinceNanos(), MAX_WAIT)) {
        refuse(waiter, context);
        entries.remove();
      }
    }
    return found;
  }

  private void refuse(Waiter waiter, DecisionContext context) {
    if (catchUp.current(context)) {
      Refusals.refuse(waiter.ticket(), RefusalReason.NOT_FOUND, "no job " + waiter.job(), context);
      return;
    }
    String detail = "job " + waiter.job() + " is not known here, and the log is unreachable";
    Refusals.refuse(waiter.ticket(), RefusalReason.LOG_UNAVAILABLE, detail, context);
  }
}
