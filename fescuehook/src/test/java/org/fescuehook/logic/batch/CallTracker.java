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
  private final Map<Long, BatchCall.Submit> submitTickets = new HashMap<>();

  /** The submission that counts for each job id: the accepted one, or the first one. */
  private final Map<String, BatchCall.Submit> submitted = new HashMap<>();

  private final Map<Long, BatchCall.Cancel> cancelTickets = new HashMap<>();

  /** When cancels were acknowledged. A cancel may come before the submission of its job. */
  private final Map<BatchCall.Cancel, Long> cancelled = new HashMap<>();

  CallTracker(TaskSimulation work, Map<String, CallAnswer> submissions) {
    this.work = work;
    this.submissions = submissions;
  }

  void recordCall(long ticket, BatchCall call) {
    if (call instanceof BatchCall.Submit submit) {
      submitTickets.put(ticket, submit);
      if (!submitted.containsKey(submit.job())) {
        recordSubmission(submit);
      }
    }
    if (call instanceof BatchCall.Cancel cancel) {
      cancelTickets.put(ticket, cancel);
    }
  }

  void recordAnswer(long ticket, CallAnswer answer, long nowMillis) {
    BatchCall.Submit submit = submitTickets.get(ticket);
    if (submit != null) {
      if (answer instanceof CallAnswer.Accepted) {
        recordSubmission(submit);
      }
      // A refused repeat of a submission does not undo an earlier acceptance.
      submissions.merge(
          submit.job(), answer, (old, newer) -> old instanceof CallAnswer.Accepted ? old : newer);
    }
    BatchCall.Cancel cancel = cancelTickets.get(ticket);
    boolean acknowledged =
        answer instanceof CallAnswer.Cancelled || answer instanceof CallAnswer.NoSuchJob;
    if (cancel != null && acknowledged) {
      cancelled.putIfAbsent(cancel, nowMillis);
      BatchCall.Submit job = submitted.get(cancel.job());
      if (job != null && cancelOf(job).equals(cancel)) {
        work.cancelledAt.putIfAbsent(cancel.job(), nowMillis);
      }
    }
  }

  private void recordSubmission(BatchCall.Submit submit) {
    submitted.put(submit.job(), submit);
    work.recordSubmission(submit.job(), submit.queue(), submit.submission());
    Long cancelledAt = cancelled.get(cancelOf(submit));
    if (cancelledAt == null) {
      work.cancelledAt.remove(submit.job());
    } else {
      work.cancelledAt.putIfAbsent(submit.job(), cancelledAt);
    }
  }

  /** Returns the cancel of a job; the same id in another queue is another job. */
  private static BatchCall.Cancel cancelOf(BatchCall.Submit submit) {
    return new BatchCall.Cancel(submit.queue(), submit.apiKey(), submit.job());
  }

  /**
   * Returns the status call of the caller of a job.
   *
   * @param key the key to use if the job was not submitted
   */
  BatchCall statusCall(String job, String key) {
    BatchCall.Submit submit = submitted.get(job);
    return submit == null
        ? new BatchCall.Status(BatchCluster.NORMAL, key, job)
        : new BatchCall.Status(submit.queue(), submit.apiKey(), job);
  }

  boolean cancelSent(String job) {
    BatchCall.Submit submit = submitted.get(job);
    return submit != null && cancelTickets.containsValue(cancelOf(submit));
  }
}
