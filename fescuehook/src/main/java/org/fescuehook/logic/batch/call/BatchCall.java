package org.fescuehook.logic.batch.call;

import org.fescuehook.model.batch.Submission;

/** A caller's request about a batch job or a queue of batch jobs. */
public sealed interface BatchCall {

  /** Returns the name of the queue. */
  String queue();

  /** Returns the API key; an empty string if the call carried none. */
  String apiKey();

  /** Returns the id of the job that the call is about; an empty string if it is about a queue. */
  default String subject() {
    return switch (this) {
      case Submit submit -> submit.job();
      case Status status -> status.job();
      case Cancel cancel -> cancel.job();
      case CountPending count -> "";
    };
  }

  /** Submits a job. Idempotent: a second submission with the same id is the same job. */
  record Submit(String queue, String apiKey, String job, Submission submission)
      implements BatchCall {}

  /** Requests the state of a job. */
  record Status(String queue, String apiKey, String job) implements BatchCall {}

  /** Cancels a job. */
  record Cancel(String queue, String apiKey, String job) implements BatchCall {}

  /** Requests the number of jobs of the queue that wait for their first task to start. */
  record CountPending(String queue, String apiKey) implements BatchCall {}
}
