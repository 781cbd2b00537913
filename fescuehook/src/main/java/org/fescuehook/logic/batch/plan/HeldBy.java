package org.fescuehook.logic.batch.plan;

/** The rule by which a plan does not start any task of a waiting step. */
enum HeldBy {
  /** Tasks of it start, or the plan does not contain it. */
  NOTHING("no rule"),
  /** Capacity stays free for urgent work. */
  URGENT_RESERVE("capacity kept for urgent work"),
  /** Capacity is held for a gang that starts soon. */
  RESERVATION("a reservation"),
  /** Its tasks may crash executors, and too many executors are kept for such tasks already. */
  CRASH_SUSPICION("tasks that may crash executors"),
  /** Executors with capacity have tasks on them that may crash them. */
  PROBATION("executors on probation"),
  /** It waits for a placement near its data, or in one rack. */
  NEARNESS("nearness"),
  /** It waits for faster executors, on which it ends earlier. */
  FASTER_EXECUTORS("faster executors"),
  /** Its tasks have failed on the executors with capacity. */
  AVOIDANCE("failures of its own"),
  /** No run is known to have ended well on the executors with capacity. */
  PROOF("lack of proof"),
  /** The executors with capacity are not reliable enough. */
  RELIABILITY("doubts"),
  /** As many tasks are tried on the doubted executors as may be tried at the same time. */
  TRIALS("trials on doubted executors"),
  /** External advice is missing. */
  ADVICE("lack of advice"),
  /** What has capacity serves users, or the step does and other work is there. */
  SHARING("executors that serve users"),
  /** As many tasks of the step are on the executors with capacity as its limit allows. */
  LIMIT_PER_EXECUTOR("the limit per executor"),
  /** It waits for runs that are being stopped. */
  STOPS("runs that are being stopped for it"),
  /**
   * Capacity is kept for steps for which runs are being stopped, or that wait for fast executors.
   */
  KEPT_FOR_OTHERS("capacity kept for other steps that wait"),
  /** No rule by itself, but several together. */
  SEVERAL("several rules together"),
  /** There is no capacity left that the plan may use. */
  CAPACITY("lack of capacity");

  private final String text;

  HeldBy(String text) {
    this.text = text;
  }

  /** Returns the text for the log. */
  @Override
  public String toString() {
    return text;
  }
}
