package org.fescuehook.logic.batch.statistics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.WeakHashMap;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.RunEnd;

/**
 * Durations of tasks relative to the estimates of their callers, by queue and by image. A duration
 * counts as on an executor of the usual speed.
 */
public final class RunTimes {

  /** Bounds the memory; the least recently learned distribution is dropped first. */
  private static final int MAX_DISTRIBUTIONS = 256;

  /** Observations of an image from which on it counts by itself and not as part of its queue. */
  private static final double MIN_OF_IMAGE = 12;

  /** Progress from which on the speed of a run is known well enough. */
  private static final int MIN_PERCENT = 5;

  private static final int WHOLE_PERCENT = 100;

  private static final double NANOS_PER_MILLI = 1e6;

  private final boolean enabled;
  private final ExecutorSpeeds speeds;
  private final Map<Kind, DurationRatios> distributions =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Kind, DurationRatios> eldest) {
          return size() > MAX_DISTRIBUTIONS;
        }
      };

  /** The newest run of each gang that was learned from, since its members end together. */
  private final Map<StepProgress, Integer> learnedGangs = new WeakHashMap<>();

  /** Work whose durations are compared with each other; an empty image stands for the queue. */
  private record Kind(String queue, String image) {}

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public RunTimes(boolean enabled, ExecutorSpeeds speeds) {
    this.enabled = enabled;
    this.speeds = speeds;
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }

  /**
   * Learns from the end of a run, which is still a live run of its task.
   *
   * @param nowNanos monotonic time at which the end was read
   */
  public void ended(LiveRun run, RunEnd end, long nowNanos) {
    BatchStep spec = run.step().spec();
    boolean comparable =
        end == RunEnd.DONE
            && run.stage() == Stage.RUNNING
            && !run.inherited()
            && run.seenPercent() == run.percent()
            && run.checkpoint().isEmpty()
            && !run.wasThrottled()
            && spec.longRunning().isEmpty()
            && spec.estimateMillis() > 0;
    if (!enabled || !comparable || (spec.gang() && !firstOfGang(run))) {
      return;
    }
    List<LiveRun> members = spec.gang() ? run.step().liveRuns() : List.of(run);
    double slowest = 0;
    long since = run.stageSince();
    for (LiveRun member : members) {
      double speed = speeds.logLastingSpeed(member.incarnation(), nowNanos);
      slowest = member == members.getFirst() ? speed : Math.min(slowest, speed);
      boolean later = member.stage() == Stage.RUNNING && member.stageSince() - since > 0;
      since = later ? member.stageSince() : since;
    }
    double millis = Math.max(1, (nowNanos - since) / NANOS_PER_MILLI);
    double ratio = Math.log(millis / spec.estimateMillis()) + slowest;
    String queue = run.step().job().job().queue().name();
    distributions.computeIfAbsent(new Kind(queue, ""), kind -> new DurationRatios()).learn(ratio);
    if (!spec.image().isEmpty()) {
      distributions
          .computeIfAbsent(new Kind(queue, spec.image()), kind -> new DurationRatios())
          .learn(ratio);
    }
  }

  private boolean firstOfGang(LiveRun run) {
    Integer before = learnedGangs.put(run.step(), run.run().number());
    return before == null || before != run.run().number();
  }

  /**
   * Returns the ratio of the expected to the estimated duration of a step's tasks on executors of
   * the usual speed; 1 if nothing is known.
   */
  public double expectedRatio(StepProgress step) {
    if (!enabled) {
      return 1;
    }
    return find(step).map(known -> Math.exp(known.median())).orElse(1.0);
  }

  /**
   * Returns the ratio of the actual to the estimated duration that few of the runs like those of a
   * step stay below; 1 if nothing is known.
   */
  public double lowRatio(StepProgress step) {
    return enabled ? find(step).map(known -> Math.exp(known.low())).orElse(1.0) : 1;
  }

  private Optional<DurationRatios> find(StepProgress step) {
    String queue = step.job().job().queue().name();
    return Optional.ofNullable(distributions.get(new Kind(queue, step.spec().image())))
        .filter(image -> image.observed() >= MIN_OF_IMAGE)
        .or(() -> Optional.ofNullable(distributions.get(new Kind(queue, ""))));
  }

  /**
   * Returns the expected time until a run is done: by its own progress once there is some, else by
   * what the runs of its queue or image have taken, and by the speed of its executor. It grows
   * while a run makes no progress. Switched off, this is {@link LiveRun#estimatedLeftMillis}.
   *
   * @param nowNanos monotonic time
   */
  public long expectedLeftMillis(LiveRun run, long nowNanos) {
    if (!enabled) {
      return run.estimatedLeftMillis();
    }
    OptionalLong measured = measuredLeftMillis(run, nowNanos);
    if (measured.isPresent()) {
      return measured.getAsLong();
    }
    Optional<DurationRatios> known = find(run.step());
    double estimate =
        run.step().spec().estimateMillis() / speeds.speed(run.incarnation(), nowNanos);
    boolean begun = run.percent() > 0 || !run.checkpoint().isEmpty() || run.inherited();
    if (!begun && known.isPresent() && estimate > 0) {
      double elapsed = run.seenRunning() ? millisSince(run.stageSince(), nowNanos) : 0;
      return Math.round(known.get().expectedLeft(elapsed / estimate) * estimate);
    }
    double ratio = known.map(ratios -> Math.exp(ratios.median())).orElse(1.0);
    double left = estimate * ratio * (WHOLE_PERCENT - run.percent()) / WHOLE_PERCENT;
    double still = run.seenRunning() ? millisSince(run.percentChangedAt(), nowNanos) : 0;
    return Math.round(Math.max(left, still));
  }

  /**
   * Returns the expected time until a run is done, from the progress that this owner has seen it
   * make; empty if that is too little. The time grows while a run makes no progress, since a run
   * that hangs would otherwise be expected to end for as long as it hangs.
   *
   * @param nowNanos monotonic time
   */
  public OptionalLong measuredLeftMillis(LiveRun run, long nowNanos) {
    boolean measured =
        enabled
            && run.stage() == Stage.RUNNING
            && run.seenPercent() >= MIN_PERCENT
            && run.checkpoint().isEmpty()
            && !run.wasThrottled();
    if (!measured) {
      return OptionalLong.empty();
    }
    double seen = (run.percentChangedAt() - run.stageSince()) / NANOS_PER_MILLI;
    double perPercent = seen / run.seenPercent();
    double still = millisSince(run.percentChangedAt(), nowNanos);
    double left = (WHOLE_PERCENT - run.percent()) * perPercent - still;
    return OptionalLong.of(Math.round(Math.max(Math.max(0, left), still - 2 * perPercent)));
  }

  private static double millisSince(long nanos, long nowNanos) {
    return (nowNanos - nanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns how many times its expected duration a run has taken so far, on an executor of its
   * speed; 0 if nothing is known.
   */
  public double overrun(LiveRun run, long nowNanos) {
    double estimate = run.step().spec().estimateMillis();
    if (!enabled || run.stage() != Stage.RUNNING || estimate <= 0) {
      return 0;
    }
    double elapsed = (nowNanos - run.stageSince()) / NANOS_PER_MILLI;
    double speed = speeds.speed(run.incarnation(), nowNanos);
    return elapsed * speed / (estimate * expectedRatio(run.step()));
  }
}
