package org.fescuehook.logic.batch.admission;

import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;

/**
 * A job that is submitted and not known yet.
 *
 * @param organisation the organisation of its caller; an empty string if the call carried no key
 */
public record NewJob(String id, JobQueue queue, String organisation, Submission submission) {

  /** Returns what its refusals are remembered by, as ids are unique within a queue only. */
  String key() {
    return key(queue.name(), id);
  }

  /** Returns the key of a submission that was refused before its queue was known. */
  static String key(String queue, String id) {
    return queue + "/" + id;
  }
}
