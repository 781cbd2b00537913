package org.fescuehook.logic.control.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;

/** Answers requests to show a job, at once or when the job ends. */
public final class ShowHandler {

  private record Waiter(long ticket, JobId job, long untilNanos) {}

  private final Map<JobId, List<Waiter>> waiters = new HashMap<>();
  private long earliestNanos = Long.MAX_VALUE;

  /** Handles a request to show a job. */
  public void show(long ticket, Request.Show show, ControlState state, DecisionContext context) {
    Optional<JobState> job = state.jobs().find(show.job());
    if (job.isEmpty()) {
      Refusals.refuse(ticket, RefusalReason.NOT_FOUND, "no job " + show.job(), context);
      return;
    }
    if (job.get().hasResult() || show.waitMillis() <= 0) {
      context.reply(ticket, new Answer.Document(JobDocument.json(job.get())));
      return;
    }
    long wait = Math.min(show.waitMillis(), ControlLimits.MAX_SHOW_WAIT.toMillis());
    long until = context.nowNanos() + wait * 1_000_000;
    earliestNanos = Math.min(earliestNanos, until);
    waiters
        .computeIfAbsent(show.job(), id -> new ArrayList<>())
        .add(new Waiter(ticket, show.job(), until));
  }

  /**
   * Handles that a record about a job was applied, and answers the requests that wait for the job's
   * end.
   */
  public void jobChanged(JobId id, ControlState state, DecisionContext context) {
    List<Waiter> waiting = waiters.get(id);
    if (waiting == null) {
      return;
    }
    Optional<JobState> job = state.jobs().find(id);
    if (job.filter(found -> !found.hasResult()).isPresent()) {
      return;
    }
    waiters.remove(id);
    for (Waiter waiter : waiting) {
      answer(waiter, job, context);
    }
  }

  /** Answers the requests whose wait timed out. */
  public void step(ControlState state, DecisionContext context) {
    if (context.nowNanos() < earliestNanos) {
      return;
    }
    List<Waiter> ended = new ArrayList<>();
    earliestNanos = Long.MAX_VALUE;
    for (List<Waiter> list : waiters.values()) {
      for (Waiter waiter : list) {
        if (context.nowNanos() >= waiter.untilNanos()) {
          ended.add(waiter);
        } else {
          earliestNanos = Math.min(earliestNanos, waiter.untilNanos());
        }
      }
      list.removeAll(ended);
    }
    waiters.values().removeIf(List::isEmpty);
    ended.sort((a, b) -> Long.compare(a.ticket(), b.ticket()));
    for (Waiter waiter : ended) {
      answer(waiter, state.jobs().find(waiter.job()), context);
    }
  }

  private static void answer(Waiter waiter, Optional<JobState> job, DecisionContext context) {
    if (job.isEmpty()) {
      Refusals.refuse(
          waiter.ticket(), RefusalReason.NOT_FOUND, "job " + waiter.job() + " forgotten", context);
      return;
    }
    context.reply(waiter.ticket(), new Answer.Document(JobDocument.json(job.get())));
  }
}
