package org.fescuehook.bench.soak;

import java.util.List;
import java.util.SplittableRandom;
import org.fescuehook.bench.soak.judge.PlannedJob;

/**
 * Draws jobs that leave most of the executors idle: gangs whose members take a whole executor each,
 * lone tasks and some more. Some runs fail, and all runs of some jobs.
 */
final class CalmMix {

  private static final int SLOTS_PER_EXECUTOR = 4;
  private static final double GANG = 0.2;
  private static final double LONE = 0.5;
  private static final double PARALLEL = 0.2;
  private static final int LEAST_MEMBERS = 2;
  private static final int MOST_MEMBERS = 4;

  /** A gang leaves most executors to others. */
  private static final int EXECUTORS_PER_MEMBER = 8;

  private static final int MOST_PARALLEL_TASKS = 4;

  /** Share of the runs that fail, in a thousand. */
  private static final int FAILING_RUNS_PERMILLE = 50;

  private static final int ALL_RUNS_PERMILLE = 1000;
  private static final double LEAST_FAILING_JOBS = 0.03;
  private static final double MOST_FAILING_JOBS = 0.08;
  private static final long SEED = 0x63616c6d6a6fL;

  private final SplittableRandom random;
  private final Lengths lengths;
  private final double failingJobs;
  private final int mostMembers;

  /** How long tasks of a run work. With long ones an executor is seldom seen to end one well. */
  private enum Lengths {
    SHORT(300, 1500),
    LONG(3000, 7000),
    ANY(300, 7000);

    private final int least;
    private final int most;

    Lengths(int least, int most) {
      this.least = least;
      this.most = most;
    }
  }

  CalmMix(SoakSizes sizes) {
    this.random = new SplittableRandom(sizes.seed() ^ SEED);
    this.lengths = Lengths.values()[random.nextInt(Lengths.values().length)];
    this.failingJobs = random.nextDouble(LEAST_FAILING_JOBS, MOST_FAILING_JOBS);
    this.mostMembers =
        Math.clamp(sizes.executors() / EXECUTORS_PER_MEMBER, LEAST_MEMBERS, MOST_MEMBERS);
  }

  JobMix.Draw next() {
    String id = String.format("%016x", random.nextLong());
    String time = "run:" + random.nextInt(lengths.least, lengths.most);
    boolean fails = random.nextDouble() < failingJobs;
    String rest = PlannedJob.FAILS + (fails ? ALL_RUNS_PERMILLE : FAILING_RUNS_PERMILLE);
    String end = rest + " job " + id;
    return new JobMix.Draw(draw(id, time, end), new JobMix.Cancelling.Never(), 0);
  }

  private PlannedJob draw(String id, String time, String end) {
    double kind = random.nextDouble();
    if (kind < GANG) {
      int members = random.nextInt(LEAST_MEMBERS, mostMembers + 1);
      String whole = time + PlannedJob.SLOTS + SLOTS_PER_EXECUTOR;
      return job(id, whole + PlannedJob.GANG + members + end, step(members));
    }
    if (kind < GANG + LONE) {
      return job(id, time + end, step(1));
    }
    int tasks = random.nextInt(2, MOST_PARALLEL_TASKS + 1);
    return kind < GANG + LONE + PARALLEL
        ? job(id, time + end, step(tasks))
        : job(id, time + end, step(tasks), new PlannedJob.Step(1, List.of(0)));
  }

  private static PlannedJob.Step step(int count) {
    return new PlannedJob.Step(count, List.of());
  }

  private static PlannedJob job(String id, String spec, PlannedJob.Step... steps) {
    return new PlannedJob(id, spec, List.of(steps), PlannedJob.Queue.RETRIED);
  }
}
