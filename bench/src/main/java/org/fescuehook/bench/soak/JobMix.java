package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.fescuehook.bench.soak.judge.PlannedJob;
import org.fescuehook.standins.platform.FleetStandIn;

/** Draws the jobs of the callers from a seed. */
final class JobMix {

  private static final int MOST_STEPS = 3;
  private static final int MOST_TASKS = 4;
  private static final int LEAST_MILLIS = 100;
  private static final int MOST_MILLIS = 900;
  private static final double CHAINED = 0.7;
  private static final double CANCELLED = 0.15;
  private static final double REPEATED = 0.25;

  /** Part of the jobs that last far longer than a lease. */
  private static final double LONG = 0.08;

  private static final int LEAST_LONG_MILLIS = 7000;
  private static final int MOST_LONG_MILLIS = 12_000;

  /** Long jobs leave room for the others. */
  private static final int MOST_LONG_TASKS = 2;

  /** Part of the long jobs that are cancelled. */
  private static final double LONG_CANCELLED = 0.6;

  /** Part of the jobs whose caller gives up; these are long, too. */
  private static final double GIVEN_UP = 0.05;

  /** Part of the jobs whose tasks crash the executors that start them. */
  private static final double CRASHING = 0.03;

  private static final int LATEST_CRASH_MILLIS = 400;

  /** Part of the jobs with placement rules: more tasks than their limits leave room for. */
  private static final double PLACED = 0.12;

  private static final int MIN_PLACED_TASKS = 6;
  private static final int MAX_PLACED_TASKS = 16;
  private static final int MAX_PER_EXECUTOR = 2;

  /** Part of the jobs with placement rules that need a label. */
  private static final double LABELLED = 0.3;

  private static final int MIN_PLACED_MILLIS = 300;
  private static final int MAX_PLACED_MILLIS = 1000;

  /** Part of the jobs with so many small tasks that an executor cannot list all their ends. */
  private static final double WIDE = 0.025;

  private static final int MIN_WIDE_TASKS = 600;
  private static final int MAX_WIDE_TASKS = 1000;
  private static final int MIN_WIDE_MILLIS = 1500;
  private static final int MAX_WIDE_MILLIS = 5000;
  private static final int WIDE_TASKS_PER_SLOT = 250;

  /** Part of the jobs with a long task that needs a rack. */
  private static final double BOUND = 0.03;

  /** Part of the jobs that need advice, in half of the mixed runs. */
  private static final double ADVISED = 0.3;

  /** Part of the jobs that are gangs, in half of the mixed runs. */
  private static final double GANG = 0.12;

  private static final int LEAST_MEMBERS = 2;
  private static final int MOST_MEMBERS = 4;

  /** Number of executors from which on half of the gangs are wide. */
  private static final int EXECUTORS_FOR_WIDE_GANGS = 16;

  private static final int LEAST_WIDE_MEMBERS = 8;
  private static final int MOST_WIDE_MEMBERS = 32;
  private static final long WIDE_GANG_SEED = 0x776964656761L;

  /** Part of the gangs that may fail twice only. */
  private static final double TWO_ATTEMPTS = 0.5;

  private static final long ATTEMPTS_SEED = 0x617474656d7074L;
  private static final long GANG_SEED = 0x67616e67L;
  private static final long ADVICE_SEED = 0x616476696365L;
  private static final long BOUND_SEED = 0x626f756e64L;
  private static final long WIDE_SEED = 0x77696465L;

  private final SplittableRandom random;

  /** Drawn apart, so that a seed means the same jobs otherwise. */
  private final SplittableRandom crashes;

  private final SplittableRandom longs;

  private final SplittableRandom placements;

  private final SplittableRandom wides;

  private final SplittableRandom bounds;

  private final SplittableRandom advices;

  private final SplittableRandom gangs;

  private final SplittableRandom wideGangs;

  private final SplittableRandom attempts;

  private final int executors;
  private final double bound;
  private final double crashing;
  private final double wide;
  private final double advised;
  private final double gang;

  JobMix(long seed, SoakSizes.Plan plan, int executors) {
    this.executors = executors;
    this.wideGangs = new SplittableRandom(seed ^ WIDE_GANG_SEED);
    this.attempts = new SplittableRandom(seed ^ ATTEMPTS_SEED);
    // Runs that are to be stopped would go down with their executors.
    this.crashing = plan == SoakSizes.Plan.CANCELS ? 0 : CRASHING;
    this.random = new SplittableRandom(~seed);
    this.crashes = new SplittableRandom(seed);
    this.longs = new SplittableRandom(seed).split();
    this.placements = new SplittableRandom(~seed).split();
    this.wides = new SplittableRandom(seed ^ WIDE_SEED);
    this.bounds = new SplittableRandom(seed ^ BOUND_SEED);
    this.advices = new SplittableRandom(seed ^ ADVICE_SEED);
    this.advised = plan == SoakSizes.Plan.MIXED && advices.nextBoolean() ? ADVISED : 0;
    this.gangs = new SplittableRandom(seed ^ GANG_SEED);
    this.gang = plan == SoakSizes.Plan.MIXED && gangs.nextBoolean() ? GANG : 0;
    this.bound = plan == SoakSizes.Plan.CANCELS ? 0 : BOUND;
    this.wide = plan == SoakSizes.Plan.CANCELS ? 0 : WIDE;
  }

  /**
   * A job and what its caller does besides asking for its state.
   *
   * @param repeatAfterMillis time from its acceptance to another submission, 0 for none
   */
  record Draw(PlannedJob job, Cancelling cancelling, long repeatAfterMillis) {}

  /** When a caller cancels its job. */
  sealed interface Cancelling {
    /** Not by itself. */
    record Never() implements Cancelling {}

    /** Some time after its acceptance. */
    record Accepted(long afterMillis) implements Cancelling {}

    /**
     * Through another VM, whether or not the submission was answered. The caller does not repeat
     * that any more.
     */
    record GivenUp(long afterMillis) implements Cancelling {}

    /**
     * Before its submission arrives, which is held up on its way.
     *
     * @param byMillis time from the cancelling to the submission, which may come before its answer
     */
    record Overtaken(long byMillis) implements Cancelling {}
  }

  Draw next() {
    String id = String.format("%016x", random.nextLong());
    String runs = "run:" + random.nextInt(LEAST_MILLIS, MOST_MILLIS);
    String spec = (crashes.nextDouble() < crashing ? crash() : runs) + " job " + id;
    List<PlannedJob.Step> steps = new ArrayList<>();
    int count = 1 + random.nextInt(MOST_STEPS);
    for (int step = 0; step < count; step++) {
      boolean chained = step > 0 && random.nextDouble() < CHAINED;
      List<Integer> dependsOn = chained ? List.of(random.nextInt(step)) : List.of();
      steps.add(new PlannedJob.Step(1 + random.nextInt(MOST_TASKS), dependsOn));
    }
    long cancel = random.nextDouble() < CANCELLED ? random.nextLong(1, 2500) : 0;
    long repeat = random.nextDouble() < REPEATED ? random.nextLong(1000, 6000) : 0;
    Cancelling cancelling = cancel > 0 ? new Cancelling.Accepted(cancel) : new Cancelling.Never();
    Draw draw = new Draw(new PlannedJob(id, spec, steps), cancelling, repeat);
    return advise(gather(bind(widen(place(lengthen(draw))))));
  }

  /** Replaces some jobs by gangs. */
  private Draw gather(Draw draw) {
    PlannedJob job = draw.job();
    if (gangs.nextDouble() >= gang || job.crashes() || job.tasksPerSlot() > 1) {
      return draw;
    }
    int few = gangs.nextInt(LEAST_MEMBERS, MOST_MEMBERS + 1);
    boolean wide = executors >= EXECUTORS_FOR_WIDE_GANGS && wideGangs.nextBoolean();
    int members =
        wide
            ? wideGangs.nextInt(LEAST_WIDE_MEMBERS, Math.min(executors, MOST_WIDE_MEMBERS) + 1)
            : few;
    String spec = job.spec().replace(" job ", PlannedJob.GANG + members + " job ");
    PlannedJob.Step step = new PlannedJob.Step(members, List.of());
    PlannedJob.Queue queue =
        attempts.nextDouble() < TWO_ATTEMPTS
            ? PlannedJob.Queue.TWO_ATTEMPTS_PLAIN
            : PlannedJob.Queue.USUAL;
    return new Draw(
        new PlannedJob(job.id(), spec, List.of(step), queue),
        draw.cancelling(),
        draw.repeatAfterMillis());
  }

  /** Hands some jobs in at the queue that needs advice. */
  private Draw advise(Draw draw) {
    PlannedJob job = draw.job();
    boolean anywhere =
        job.steps().stream()
            .allMatch(step -> step.placement().equals(PlannedJob.Placement.ANYWHERE));
    if (advices.nextDouble() >= advised || !anywhere || job.crashes()) {
      return draw;
    }
    String spec = job.spec().replace(" job ", PlannedJob.ADVISED);
    return new Draw(
        new PlannedJob(job.id(), spec, job.steps(), PlannedJob.Queue.ADVISED),
        draw.cancelling(),
        draw.repeatAfterMillis());
  }

  /** Replaces some jobs by long ones that only the executors of a rack may run. */
  private Draw bind(Draw draw) {
    boolean ordinary = draw.cancelling() instanceof Cancelling.Never && !draw.job().crashes();
    if (bounds.nextDouble() >= bound || !ordinary) {
      return draw;
    }
    String id = draw.job().id();
    String spec = "run:" + bounds.nextInt(LEAST_LONG_MILLIS, MOST_LONG_MILLIS) + " job " + id;
    String rack = FleetStandIn.labelsOfExecutor(1 + bounds.nextInt(2)).getLast();
    PlannedJob.Step step =
        new PlannedJob.Step(1, List.of(), new PlannedJob.Placement(Optional.of(rack), 0));
    return new Draw(
        new PlannedJob(id, spec, List.of(step)), draw.cancelling(), draw.repeatAfterMillis());
  }

  /** Replaces some jobs by ones with many small tasks. */
  private Draw widen(Draw draw) {
    boolean ordinary = draw.cancelling() instanceof Cancelling.Never && !draw.job().crashes();
    if (wides.nextDouble() >= wide || !ordinary) {
      return draw;
    }
    String id = draw.job().id();
    int millis = wides.nextInt(MIN_WIDE_MILLIS, MAX_WIDE_MILLIS);
    int count = wides.nextInt(MIN_WIDE_TASKS, MAX_WIDE_TASKS);
    String spec = "run:" + millis + PlannedJob.SHARING + WIDE_TASKS_PER_SLOT + " job " + id;
    PlannedJob job = new PlannedJob(id, spec, List.of(new PlannedJob.Step(count, List.of())));
    return new Draw(job, draw.cancelling(), draw.repeatAfterMillis());
  }

  /** Replaces some jobs by ones whose tasks may not run everywhere. */
  private Draw place(Draw draw) {
    boolean ordinary = draw.cancelling() instanceof Cancelling.Never && !draw.job().crashes();
    if (placements.nextDouble() >= PLACED || !ordinary) {
      return draw;
    }
    String id = draw.job().id();
    int millis = placements.nextInt(MIN_PLACED_MILLIS, MAX_PLACED_MILLIS);
    Optional<String> label =
        placements.nextDouble() < LABELLED ? Optional.of(drawLabel()) : Optional.empty();
    PlannedJob.Step step =
        new PlannedJob.Step(
            placements.nextInt(MIN_PLACED_TASKS, MAX_PLACED_TASKS),
            List.of(),
            new PlannedJob.Placement(label, 1 + placements.nextInt(MAX_PER_EXECUTOR)));
    PlannedJob job = new PlannedJob(id, "run:" + millis + " job " + id, List.of(step));
    return new Draw(job, draw.cancelling(), draw.repeatAfterMillis());
  }

  private String drawLabel() {
    List<String> labels = FleetStandIn.labelsOfExecutor(1 + placements.nextInt(2));
    return labels.get(placements.nextInt(labels.size()));
  }

  private Draw lengthen(Draw draw) {
    double kind = longs.nextDouble();
    if (kind >= LONG + GIVEN_UP) {
      return draw;
    }
    String id = draw.job().id();
    String spec = "run:" + longs.nextInt(LEAST_LONG_MILLIS, MOST_LONG_MILLIS) + " job " + id;
    int tasks = 1 + longs.nextInt(MOST_LONG_TASKS);
    PlannedJob job = new PlannedJob(id, spec, List.of(new PlannedJob.Step(tasks, List.of())));
    if (kind >= LONG) {
      return new Draw(job, giveUp(), draw.repeatAfterMillis());
    }
    boolean cancelled = longs.nextDouble() < LONG_CANCELLED;
    Cancelling cancelling =
        cancelled ? new Cancelling.Accepted(longs.nextLong(1, 4000)) : new Cancelling.Never();
    return new Draw(job, cancelling, draw.repeatAfterMillis());
  }

  private Cancelling giveUp() {
    return longs.nextBoolean()
        ? new Cancelling.Overtaken(longs.nextBoolean() ? longs.nextLong(600) : longs.nextLong(6000))
        : new Cancelling.GivenUp(longs.nextBoolean() ? longs.nextLong(30) : longs.nextLong(3000));
  }

  private String crash() {
    return PlannedJob.CRASHES + crashes.nextInt(LATEST_CRASH_MILLIS);
  }
}
