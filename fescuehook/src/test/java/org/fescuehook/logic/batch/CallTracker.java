package org.fescuehook.logic.batch;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;

/**
 * Remembers the call of each ticket, and reports submissions and acknowledged cancels to {@link
 * TaskSimulation}.
 */
final class CallTracker {

  private final TaskSimulation work;
  private final Map<String, CallAnswer> submissions;
  private final Map<Long, String> submitTickets = new HashMap<>();
  private final Map<Long, String> cancelTickets = new HashMap<>();

  CallTracker(TaskSimulation work, Map<String, CallAnswer> submissions) {
    this.work = work;
    this.submissions = submissions;
  }

  void recordCall(long ticket, BatchCall call) {
    if (call instanceof BatchCall.Submit submit) {
      submitTickets.put(ticket, submit.job());
      work.recordSubmission(submit.job(), submit.queue(), submit.submission());
    }
    if (call instanceof BatchCall.Cancel cancel) {
      cancelTickets.put(ticket, cancel.job());
    }
  }

  void recordAnswer(long ticket, CallAnswer answer, long nowMillis) {
    String job = submitTickets.get(ticket);
    if (job != null) {
      // A refused repeat of a submission does not undo an earlier acceptance.
      submissions.merge(
          job, answer, (old, newer) -> old instanceof CallAnswer.Accepted ? old : newer);
    }
    String cancelled = cancelTickets.get(ticket);
    boolean acknowledged =
        answer instanceof CallAnswer.Cancelled || answer instanceof CallAnswer.NoSuchJob;
    if (cancelled != null && acknowledged) {
      work.recordCancel(cancelled, nowMillis);
    }
  }

  boolean cancelSent(String job) {
    return cancelTickets.containsValue(job);
  }
}
