package org.fescuehook.logic.batch.state;

/** Why the work of a run was wasted: it has to be repeated, or its result is of no use. */
public enum WasteCause {
  /** It was stopped so that more important work could start. */
  PREEMPTED("preempted", "it was preempted"),
  /** Another member of its gang ended or was stopped. */
  GANG_BROKEN("gang-broken", "a member of its gang ended"),
  /** It was moved from an executor that has become slow. */
  MOVED("moved", "it hardly progresses there"),
  /** It was stopped since it took far longer than expected while others waited. */
  OVERLONG("overlong", "it runs far beyond its estimate while others wait"),
  /** Its executor was about to leave. */
  LEAVING("leaving", "its executor is leaving"),
  /** Its start was not answered, so that it was stopped in case it ran. */
  UNANSWERED("unanswered", "its start had no answer"),
  /** Its job was cancelled or failed. */
  JOB_ENDED("job-ended", "its job ended"),
  /** Another run of its task was done before. */
  TASK_DONE("task-done", "its task is done"),
  /** It failed. */
  FAILED("failed", "it failed"),
  /** Its lease expired. */
  LEASE_EXPIRED("lease-expired", "its lease expired"),
  /** It was lost, mostly with its executor. */
  LOST("lost", "it was lost"),
  /** It was stopped for another reason. */
  OTHER("other", "it was stopped");

  private final String tag;
  private final String text;

  WasteCause(String tag, String text) {
    this.tag = tag;
    this.text = text;
  }

  /** Returns the value of the metric's tag. */
  public String tag() {
    return tag;
  }

  /** Returns the reason for the log. */
  public String text() {
    return text;
  }
}
