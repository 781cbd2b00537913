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
import org.fescuehook.model.preferences.SchedulingPreferences;

/**
 * Simulates heavy load on a virtual clock: short urgent gangs, long gangs and wide bulk jobs in the
 * proportions of the two users, with a backlog at the start and a burst of urgent jobs. The figures
 * are those of the users' site sheets.
 */
final class HeavyLoadSimulation {

  private static final long SUBMISSION_MILLIS = 50_000;
  private static final long FINISH_MILLIS = 20_000;
  private static final long BACKLOG_AT_MILLIS = 1_500;

  /** A late job still earns part of its value up to this many times its objective. */
  private static final double LATEST_RATIO = 3;

  /**
   * Fixed part of a job's value; the rest grows with its work relative to the mean of its class.
   */
  private static final double FIXED_VALUE = 0.3;

  /** The users' price of a core-second of discarded work. */
  private static final double WASTE_PRICE = 0.002;

  /** A job that was submitted. */
  private record SubmittedJob(
      WorkloadProfile.JobClass jobClass, long at, double objective, double share) {}

  /**
   * The outcome of a simulation.
   *
   * @param credit share of the possible value that was earned
   * @param wasted price of the discarded work, as a share of the possible value
   * @param byQueue share earned by each queue
   */
  record Result(double credit, double wasted, Map<String, Double> byQueue) {}

  private final WorkloadProfile profile;
  private final BatchCluster cluster;
  private final Random random;
  private final double load;
  private final Map<String, SubmittedJob> submittedJobs = new LinkedHashMap<>();
  private final Map<String, Long> completedAt = new LinkedHashMap<>();

  HeavyLoadSimulation(
      WorkloadProfile profile, SchedulingPreferences scheduling, long seed, double load) {
    this.profile = profile;
    this.cluster =
        new BatchCluster(2, 0, seed, profile.configuration(), TestFixtures.preferences(scheduling));
    this.random = new Random(seed);
    this.load = load;
    cluster.work.setStopMillis(profile.stopMillis());
    for (int i = 0; i < profile.executors(); i++) {
      cluster.addExecutor("e" + i, "r" + i / profile.rackSize());
    }
    if (profile.speeds().size() > 1) {
      cluster.work.advanceGangsWithSlowestMember();
      for (ExecutorId id : cluster.executors.keySet()) {
        cluster.work.slowDown(id, profile.speeds().get(random.nextInt(profile.speeds().size())));
      }
    }
  }

  /** Makes the owner fail at a time; another VM takes over and knows nothing of what it learned. */
  void loseOwnerAt(long millis) {
    cluster.in(millis, () -> cluster.owner().ifPresent(owner -> cluster.restart(owner.id, 5_000)));
  }

  Result run() {
    cluster.awaitOwner();
    profile.executorFaults().forEach(fault -> scheduleFault(fault));
    for (WorkloadProfile.JobClass jobClass : profile.jobClasses()) {
      for (int i = 0; i < jobClass.backlog(); i++) {
        cluster.in(BACKLOG_AT_MILLIS + random.nextInt(100), () -> submit(jobClass));
      }
      double at = 9_000;
      while (at < SUBMISSION_MILLIS) {
        boolean burst = jobClass.queue().equals(TestFixtures.URGENT) && at < 15_500;
        double rate = jobClass.perSecond() * load * (burst ? 2 : 1);
        at += -Math.log(1 - random.nextDouble()) / rate * 1000;
        cluster.in((long) at, () -> submit(jobClass));
      }
    }
    long end = SUBMISSION_MILLIS + FINISH_MILLIS;
    while (cluster.nowMillis() < end) {
      cluster.run(100);
      recordCompletions();
    }
    return result();
  }

  /** Schedules a fault on random executors, and their recovery. */
  private void scheduleFault(WorkloadProfile.ExecutorFault fault) {
    List<ExecutorId> ids = new ArrayList<>(cluster.executors.keySet());
    Collections.shuffle(ids, random);
    List<ExecutorId> affected = ids.subList(0, (int) Math.round(ids.size() * fault.share()));
    cluster.in(fault.atMillis(), () -> affected.forEach(id -> begin(fault, id)));
    cluster.in(
        fault.atMillis() + fault.durationMillis(), () -> affected.forEach(cluster.work::restore));
  }

  private void begin(WorkloadProfile.ExecutorFault fault, ExecutorId id) {
    switch (fault.faultKind()) {
      case SLOW -> cluster.work.slowDown(id, WorkloadProfile.SLOW_EXECUTOR_SPEED);
      case HANGING -> cluster.work.slowDown(id, 0);
      case FAILING -> cluster.work.failAllOn(id);
    }
  }

  private void recordCompletions() {
    // A status that waits for its answer lets further jobs be submitted.
    for (String job : List.copyOf(submittedJobs.keySet())) {
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

  private void submit(WorkloadProfile.JobClass jobClass) {
    boolean bulk = jobClass.queue().equals(TestFixtures.BULK);
    int width =
        Math.clamp(Math.round(lognormal(jobClass.width(), 0.8)), 1, (int) (6 * jobClass.width()));
    int accelerators = bulk ? 1 : profile.drawAccelerators(random);
    long millis = Math.max(300, Math.round(lognormal(jobClass.millis(), jobClass.workSpread())));
    long estimate = Math.max(200, Math.round(lognormal(millis, jobClass.estimateSpread())));
    ResourceVector demand =
        new ResourceVector(
            jobClass.unit().milliCores(), jobClass.unit().memoryMegabytes(), accelerators);
    if (!bulk) {
      width = Math.min(width, profile.widestGang(demand));
    }
    boolean gang = !bulk && width > 1;
    BatchStep step =
        new BatchStep(
            width,
            demand,
            estimate,
            List.of(),
            new BatchStep.PlacementRule(
                gang && random.nextDouble() < jobClass.sameRack(),
                Optional.empty(),
                Optional.empty(),
                0),
            random.nextDouble() < jobClass.checkpointing(),
            gang,
            "image-" + jobClass.queue());
    String job = cluster.submit(jobClass.queue(), profile.drawKey(random), Jobs.of(step));
    for (int index = 0; index < width; index++) {
      boolean isLong = profile.longTaskShare() > 0 && random.nextDouble() < profile.longTaskShare();
      cluster.work.setWorkMillis(
          new TaskName(job, 0, 0, index),
          isLong ? millis * WorkloadProfile.LONG_TASK_FACTOR : millis);
    }
    double share = (double) width * millis / (jobClass.width() * jobClass.millis());
    double objective = jobClass.objectiveFactor() * millis + jobClass.targetMillis();
    submittedJobs.put(job, new SubmittedJob(jobClass, cluster.nowMillis(), objective, share));
  }

  private Result result() {
    double possible = 0;
    double earned = 0;
    Map<String, double[]> sumsByQueue = new LinkedHashMap<>();
    for (Map.Entry<String, SubmittedJob> entry : submittedJobs.entrySet()) {
      SubmittedJob job = entry.getValue();
      boolean due = job.at() + job.objective() < SUBMISSION_MILLIS + FINISH_MILLIS;
      if (!due) {
        continue;
      }
      double value = Math.min(4, FIXED_VALUE + 0.7 * job.share()) * job.jobClass().value();
      double credit = value * credit(job, completedAt.get(entry.getKey()));
      possible += value;
      earned += credit;
      double[] sums = sumsByQueue.computeIfAbsent(job.jobClass().queue(), name -> new double[2]);
      sums[0] += value;
      sums[1] += credit;
    }
    Map<String, Double> byQueue = new LinkedHashMap<>();
    sumsByQueue.forEach((name, sums) -> byQueue.put(name, sums[1] / sums[0]));
    double wasted = cluster.work.waste.coreSeconds() * WASTE_PRICE / possible;
    return new Result(earned / possible, wasted, byQueue);
  }

  private static double credit(SubmittedJob job, Long completed) {
    if (completed == null) {
      return 0;
    }
    double ratio = (completed - job.at()) / job.objective();
    if (ratio <= 1) {
      return 1;
    }
    return ratio <= LATEST_RATIO ? job.jobClass().lateValueShare() : 0;
  }

  /** Runs several simulations with different seeds and returns the mean of their results. */
  static Result mean(WorkloadProfile profile, int simulations, double load) {
    return mean(profile, SchedulingPreferences.ALL_OFF, simulations, load);
  }

  /** The same with optional parts of the scheduling. */
  static Result mean(
      WorkloadProfile profile, SchedulingPreferences scheduling, int simulations, double load) {
    double credit = 0;
    double wasted = 0;
    Map<String, Double> byQueue = new LinkedHashMap<>();
    List<Result> results = new ArrayList<>();
    for (int seed = 1; seed <= simulations; seed++) {
      results.add(new HeavyLoadSimulation(profile, scheduling, seed, load).run());
    }
    for (Result result : results) {
      credit += result.credit() / simulations;
      wasted += result.wasted() / simulations;
      result
          .byQueue()
          .forEach((name, share) -> byQueue.merge(name, share / simulations, Double::sum));
    }
    return new Result(credit, wasted, byQueue);
  }
}
