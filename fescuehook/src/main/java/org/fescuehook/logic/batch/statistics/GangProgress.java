package org.fescuehook.logic.batch.statistics;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.state.LiveRun;

/**
 * The progress of one run of a gang. On some executors the members of a gang progress together, at
 * the pace of the slowest; on others each progresses on its own. They progress on their own once a
 * member reports clearly less than another one has reported before.
 */
final class GangProgress {

  /** Difference of two reports in percent that is more than rounding. */
  private static final int MIN_DIFFERENCE = 2;

  private final int run;
  private int mostPercent;
  private boolean separate;
  private boolean ended;
  private Optional<ProgressWindow> window = Optional.empty();

  /**
   * Creates the progress of a run of a gang.
   *
   * @param separate whether its members are expected to progress on their own
   */
  GangProgress(int run, boolean separate) {
    this.run = run;
    this.separate = separate;
  }

  int run() {
    return run;
  }

  /** Records the report of a member and returns whether the members progress on their own. */
  boolean separate(int percent) {
    separate |= percent <= mostPercent - MIN_DIFFERENCE;
    mostPercent = Math.max(mostPercent, percent);
    return separate;
  }

  /** Returns whether the members are known to progress on their own. */
  boolean separate() {
    return separate;
  }

  /** Records the end of a member; returns true for the first one. */
  boolean firstEnd() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  /** Returns the window of the whole gang, which begins when all its members run. */
  ProgressWindow window(LiveRun reported, List<LiveRun> members, long nowNanos) {
    if (window.isEmpty()) {
      window = Optional.of(begin(reported, members, nowNanos));
    }
    return window.get();
  }

  /** Returns a window that begins when all members run. */
  static ProgressWindow begin(LiveRun reported, List<LiveRun> members, long nowNanos) {
    long estimate = reported.step().spec().estimateMillis();
    if (members.stream().anyMatch(LiveRun::inherited)) {
      return new ProgressWindow(estimate, nowNanos, reported.percent());
    }
    long since = reported.runningSince().orElse(nowNanos);
    for (LiveRun member : members) {
      long began = member.runningSince().orElse(nowNanos);
      since = began - since > 0 ? began : since;
    }
    return new ProgressWindow(estimate, since, 0);
  }
}
