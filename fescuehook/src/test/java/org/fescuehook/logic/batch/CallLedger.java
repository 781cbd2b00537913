package org.fescuehook.logic.batch;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;

/** Which call each ticket was of, so that answers are told to the audit of the work. */
final class CallLedger {

  private final VirtualWork work;
  private final Map<String, CallAnswer> submissions;
  private final Map<Long, String> submitTickets = new HashMap<>();
  private final Map<Long, String> cancelTickets = new HashMap<>();

  CallLedger(VirtualWork work, Map<String, CallAnswer> submissions) {
    this.work = work;
    this.submissions = submissions;
  }

  void asked(long ticket, BatchCall call) {
    if (call instanceof BatchCall.Submit submit) {
      submitTickets.put(ticket, submit.job());
      work.submitted(submit.job(), submit.submission());
    }
    if (call instanceof BatchCall.Cancel cancel) {
      cancelTickets.put(ticket, cancel.job());
    }
  }

  void answered(long ticket, CallAnswer answer, long nowMillis) {
    String job = submitTickets.get(ticket);
    if (job != null) {
      // A refusal of one attempt takes nothing back from another one that was accepted.
      submissions.merge(
          job, answer, (old, newer) -> old instanceof CallAnswer.Accepted ? old : newer);
    }
    String cancelled = cancelTickets.get(ticket);
    boolean acknowledged =
        answer instanceof CallAnswer.Cancelled || answer instanceof CallAnswer.NoSuchJob;
    if (cancelled != null && acknowledged) {
      work.cancelled(cancelled, nowMillis);
    }
  }

  boolean cancelAsked(String job) {
    return cancelTickets.containsValue(job);
  }
}
