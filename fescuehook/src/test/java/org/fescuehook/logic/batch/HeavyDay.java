package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;

/**
 * A day under heavy load, played on a virtual clock: short urgent gangs, long gangs and wide bulk
 * jobs in the proportions of the two users, a backlog at the start and a burst of urgent jobs. Its
 * figures are those of their site sheets.
 */
final class HeavyDay {

  private static final long DAY_MILLIS = 50_000;
  private static final long AFTER_MILLIS = 20_000;
  private static final long BACKLOG_AT = 1_500;
  private static final int RACK_SIZE = 8;

  /** Longest stop of the slower of the two users. */
  private static final long STOP_MILLIS = 900;

  /** Late answers count up to this many times the objective. */
  private static final double LATEST = 3;

  /** Worth of a job is partly fixed and partly by its work against the mean of its kind. */
  private static final double FIXED_WORTH = 0.3;

  /** What a core-second of thrown-away work costs; the users' price. */
  private static final double WASTE_PRICE = 0.002;

  private static final int[] GANG_ACCELERATORS = {1, 2, 4, 8, 8};

  /** A kind of job. */
  private record Kind(
      String queue,
      double perSecond,
      double width,
      double millis,
      double spread,
      double estimateOff,
      Demand unit,
      double checkpointing,
      double sameRack,
      double worth,
      double lateShare,
      double factor,
      long targetMillis,
      int backlog) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind(
              Declared.URGENT,
              1.75,
              3.4,
              2500,
              0.5,
              0.2,
              new Demand(7_500, 31_000, 0),
              0,
              0.5,
              4,
              0.2,
              1.5,
              250,
              0),
          new Kind(
              Declared.NORMAL,
              0.46,
              5,
              8500,
              0.3,
              0.5,
              new Demand(26_000, 110_000, 0),
              0.45,
              0.5,
              3,
              0.3,
              3,
              1000,
              5),
          new Kind(
              Declared.BULK,
              0.54,
              16,
              6100,
              0.3,
              0.5,
              new Demand(5_600, 16_000, 1),
              0.45,
              0,
              1,
              0.3,
              3,
              3000,
              9));

  /** A job that was asked for. */
  private record Asked(Kind kind, long at, double objective, double share) {}

  /**
   * What a day was worth.
   *
   * @param credit share of the worth that was earned
   * @param wasted price of the work thrown away, as a share of the worth
   * @param byKind share earned by each queue
   */
  record Result(double credit, double wasted, Map<String, Double> byKind) {}

  private final BatchCluster cluster;
  private final Random random;
  private final double load;
  private final Map<String, Asked> asked = new LinkedHashMap<>();
  private final Map<String, Long> completedAt = new LinkedHashMap<>();

  HeavyDay(long seed, int executors, double load) {
    this.cluster = new BatchCluster(2, 0, seed);
    this.random = new Random(seed);
    this.load = load;
    cluster.work.stopsTake(STOP_MILLIS);
    for (int i = 0; i < executors; i++) {
      cluster.addExecutor("e" + i, "r" + i / RACK_SIZE);
    }
  }

  Result play() {
    cluster.awaitOwner();
    for (Kind kind : KINDS) {
      for (int i = 0; i < kind.backlog(); i++) {
        cluster.in(BACKLOG_AT + random.nextInt(100), () -> submit(kind));
      }
      double at = 9_000;
      while (at < DAY_MILLIS) {
        boolean burst = kind.queue().equals(Declared.URGENT) && at < 15_500;
        double rate = kind.perSecond() * load * (burst ? 2 : 1);
        at += -Math.log(1 - random.nextDouble()) / rate * 1000;
        cluster.in((long) at, () -> submit(kind));
      }
    }
    long end = DAY_MILLIS + AFTER_MILLIS;
    while (cluster.nowMillis() < end) {
      cluster.run(100);
      look();
    }
    return result();
  }

  private void look() {
    for (String job : asked.keySet()) {
      boolean completed =
          !completedAt.containsKey(job)
              && cluster.status(job).equals(Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED)));
      if (completed) {
        completedAt.put(job, cluster.nowMillis());
      }
    }
  }

  private double lognormal(double mean, double spread) {
    return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
  }

  private void submit(Kind kind) {
    boolean bulk = kind.queue().equals(Declared.BULK);
    int width = Math.clamp(Math.round(lognormal(kind.width(), 0.8)), 1, (int) (6 * kind.width()));
    int accelerators = bulk ? 1 : GANG_ACCELERATORS[random.nextInt(GANG_ACCELERATORS.length)];
    if (!bulk) {
      width = Math.min(width, RACK_SIZE);
    }
    long millis = Math.max(300, Math.round(lognormal(kind.millis(), kind.spread())));
    long estimate = Math.max(200, Math.round(lognormal(millis, kind.estimateOff())));
    Demand demand =
        new Demand(kind.unit().milliCores(), kind.unit().memoryMegabytes(), accelerators);
    boolean gang = !bulk && width > 1;
    BatchStep step =
        new BatchStep(
            width,
            demand,
            estimate,
            List.of(),
            new BatchStep.PlacementRule(
                gang && random.nextDouble() < kind.sameRack(),
                Optional.empty(),
                Optional.empty(),
                0),
            random.nextDouble() < kind.checkpointing(),
            gang,
            "image-" + kind.queue());
    String job = cluster.submit(kind.queue(), Jobs.of(step));
    for (int index = 0; index < width; index++) {
      cluster.work.lasts(new TaskName(job, 0, 0, index), millis);
    }
    double share = (double) width * millis / (kind.width() * kind.millis());
    double objective = kind.factor() * millis + kind.targetMillis();
    asked.put(job, new Asked(kind, cluster.nowMillis(), objective, share));
  }

  private Result result() {
    double owed = 0;
    double earned = 0;
    Map<String, double[]> kinds = new LinkedHashMap<>();
    for (Map.Entry<String, Asked> entry : asked.entrySet()) {
      Asked job = entry.getValue();
      boolean due = job.at() + job.objective() < DAY_MILLIS + AFTER_MILLIS;
      if (!due) {
        continue;
      }
      double worth = Math.min(4, FIXED_WORTH + 0.7 * job.share()) * job.kind().worth();
      double credit = worth * credit(job, completedAt.get(entry.getKey()));
      owed += worth;
      earned += credit;
      double[] sums = kinds.computeIfAbsent(job.kind().queue(), name -> new double[2]);
      sums[0] += worth;
      sums[1] += credit;
    }
    Map<String, Double> byKind = new LinkedHashMap<>();
    kinds.forEach((name, sums) -> byKind.put(name, sums[1] / sums[0]));
    double wasted = cluster.work.wastedCoreSeconds() * WASTE_PRICE / owed;
    return new Result(earned / owed, wasted, byKind);
  }

  private static double credit(Asked job, Long completed) {
    if (completed == null) {
      return 0;
    }
    double ratio = (completed - job.at()) / job.objective();
    if (ratio <= 1) {
      return 1;
    }
    return ratio <= LATEST ? job.kind().lateShare() : 0;
  }

  /** Plays several days and returns their means. */
  static Result mean(int days, int executors, double load) {
    double credit = 0;
    double wasted = 0;
    Map<String, Double> kinds = new LinkedHashMap<>();
    List<Result> results = new ArrayList<>();
    for (int seed = 1; seed <= days; seed++) {
      results.add(new HeavyDay(seed, executors, load).play());
    }
    for (Result result : results) {
      credit += result.credit() / days;
      wasted += result.wasted() / days;
      result.byKind().forEach((name, share) -> kinds.merge(name, share / days, Double::sum));
    }
    return new Result(credit, wasted, kinds);
  }
}
