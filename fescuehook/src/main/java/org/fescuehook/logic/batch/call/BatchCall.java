package org.fescuehook.logic.batch.call;

import org.fescuehook.model.batch.Submission;

/** A caller's request about a batch job. */
public sealed interface BatchCall {

  /** Returns the name of the queue. */
  String queue();

  /** Returns the API key; empty if the call carried none. */
  String apiKey();

  /** Returns the job that the call is about; empty if it is about a queue. */
  default String subject() {
    return switch (this) {
      case Submit submit -> submit.job();
      case Status status -> status.job();
      case Cancel cancel -> cancel.job();
      case CountPending count -> "";
    };
  }

  /** Hands a job in. The same id again is the same job. */
  record Submit(String queue, String apiKey, String job, Submission submission)
      implements BatchCall {}

  /** Asks for the state of a job. */
  record Status(String queue, String apiKey, String job) implements BatchCall {}

  /** Cancels a job. */
  record Cancel(String queue, String apiKey, String job) implements BatchCall {}

  /** Asks how many jobs of the queue wait. */
  record CountPending(String queue, String apiKey) implements BatchCall {}
}
