package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * A day under heavy load, played on a virtual clock: short urgent gangs, long gangs and wide bulk
 * jobs in the proportions of the two users, a backlog at the start and a burst of urgent jobs. Its
 * figures are those of their site sheets.
 */
final class HeavyDay {

  private static final long DAY_MILLIS = 50_000;
  private static final long AFTER_MILLIS = 20_000;
  private static final long BACKLOG_AT = 1_500;

  /** Late answers count up to this many times the objective. */
  private static final double LATEST = 3;

  /** Worth of a job is partly fixed and partly by its work against the mean of its kind. */
  private static final double FIXED_WORTH = 0.3;

  /** What a core-second of thrown-away work costs; the users' price. */
  private static final double WASTE_PRICE = 0.002;

  /** A job that was asked for. */
  private record Asked(DayShape.Kind kind, long at, double objective, double share) {}

  /**
   * What a day was worth.
   *
   * @param credit share of the worth that was earned
   * @param wasted price of the work thrown away, as a share of the worth
   * @param byKind share earned by each queue
   */
  record Result(double credit, double wasted, Map<String, Double> byKind) {}

  private final DayShape shape;
  private final BatchCluster cluster;
  private final Random random;
  private final double load;
  private final Map<String, Asked> asked = new LinkedHashMap<>();
  private final Map<String, Long> completedAt = new LinkedHashMap<>();

  HeavyDay(DayShape shape, long seed, double load) {
    this.shape = shape;
    this.cluster = new BatchCluster(2, 0, seed, shape.configuration());
    this.random = new Random(seed);
    this.load = load;
    cluster.work.stopsTake(shape.stopMillis());
    for (int i = 0; i < shape.executors(); i++) {
      cluster.addExecutor("e" + i, "r" + i / shape.rackSize());
    }
  }

  Result play() {
    cluster.awaitOwner();
    shape.troubles().forEach(trouble -> plan(trouble));
    for (DayShape.Kind kind : shape.kinds()) {
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

  /** Brings a trouble about on some executors and mends it after a while. */
  private void plan(DayShape.Trouble trouble) {
    List<ExecutorId> ids = new ArrayList<>(cluster.executors.keySet());
    Collections.shuffle(ids, random);
    List<ExecutorId> hit = ids.subList(0, (int) Math.round(ids.size() * trouble.share()));
    cluster.in(trouble.atMillis(), () -> hit.forEach(id -> begin(trouble, id)));
    cluster.in(trouble.atMillis() + trouble.forMillis(), () -> hit.forEach(cluster.work::mend));
  }

  private void begin(DayShape.Trouble trouble, ExecutorId id) {
    switch (trouble.kind()) {
      case SLOW -> cluster.work.slow(id, DayShape.SLOW_SHARE);
      case HANGING -> cluster.work.slow(id, 0);
      case FAILING -> cluster.work.failAllOn(id);
    }
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

  private void submit(DayShape.Kind kind) {
    boolean bulk = kind.queue().equals(Declared.BULK);
    int width = Math.clamp(Math.round(lognormal(kind.width(), 0.8)), 1, (int) (6 * kind.width()));
    int accelerators = bulk ? 1 : shape.drawAccelerators(random);
    long millis = Math.max(300, Math.round(lognormal(kind.millis(), kind.spread())));
    long estimate = Math.max(200, Math.round(lognormal(millis, kind.estimateOff())));
    ResourceVector demand =
        new ResourceVector(kind.unit().milliCores(), kind.unit().memoryMegabytes(), accelerators);
    if (!bulk) {
      width = Math.min(width, shape.widestGang(demand));
    }
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
    String job = cluster.submit(kind.queue(), shape.drawKey(random), Jobs.of(step));
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
  static Result mean(DayShape shape, int days, double load) {
    double credit = 0;
    double wasted = 0;
    Map<String, Double> kinds = new LinkedHashMap<>();
    List<Result> results = new ArrayList<>();
    for (int seed = 1; seed <= days; seed++) {
      results.add(new HeavyDay(shape, seed, load).play());
    }
    for (Result result : results) {
      credit += result.credit() / days;
      wasted += result.wasted() / days;
      result.byKind().forEach((name, share) -> kinds.merge(name, share / days, Double::sum));
    }
    return new Result(credit, wasted, kinds);
  }
}
