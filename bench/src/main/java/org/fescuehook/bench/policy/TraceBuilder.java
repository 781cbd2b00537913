package org.fescuehook.bench.policy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.fescuehook.logic.trace.JobBehaviour;
import org.fescuehook.logic.trace.Trace;
import org.fescuehook.logic.trace.TraceEvent;
import org.fescuehook.logic.trace.WorkerTiming;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;

/** Builds a trace from a seed; the same seed and calls give the same trace. */
final class TraceBuilder {

  private static final InetSocketAddress NO_ADDRESS =
      InetSocketAddress.createUnresolved("trace", 1);
  private static final double LEAST_HABIT = 0.5;
  private static final double MOST_HABIT = 6;
  private static final double DECLARED_SPREAD = 0.5;
  private static final long LEAST_CHECKPOINT_MILLIS = 2_000;
  private static final long MOST_CHECKPOINT_MILLIS = 25_000;

  private final SplittableRandom random;
  private final List<Worker> workers = new ArrayList<>();
  private final List<Organisation> organisations = new ArrayList<>();
  private final List<GuaranteedShape> guarantees = new ArrayList<>();
  private final List<TraceEvent> events = new ArrayList<>();
  private final Map<OrganisationId, Double> habits = new HashMap<>();
  private int jobs;
  private double fragmentationWeight = 0.5;
  private Duration maxWait = Duration.ofHours(24);

  TraceBuilder(long seed) {
    this.random = new SplittableRandom(seed);
  }

  SplittableRandom random() {
    return random;
  }

  void fragmentationWeight(double weight) {
    fragmentationWeight = weight;
  }

  void maxWait(Duration wait) {
    maxWait = wait;
  }

  void workers(int count, int perRack, int domains, String prefix, Capacity capacity) {
    for (int i = 0; i < count; i++) {
      int rack = i / perRack;
      workers.add(
          new Worker(
              new WorkerId("%s%03d".formatted(prefix, i)),
              NO_ADDRESS,
              new FailureDomain("domain-" + rack % domains),
              new RackId("%s-rack-%02d".formatted(prefix, rack)),
              capacity));
    }
  }

  /** Adds an organisation with a habit of its own to declare run times too long or too short. */
  void organisation(String name, double weight, int quota) {
    OrganisationId id = new OrganisationId(name);
    organisations.add(new Organisation(id, weight, quota, 1));
    double low = Math.log(LEAST_HABIT);
    double high = Math.log(MOST_HABIT);
    habits.put(id, Math.exp(low + (high - low) * random.nextDouble()));
  }

  void guarantee(String name, String organisation, Shape shape, int count) {
    guarantees.add(new GuaranteedShape(name, new OrganisationId(organisation), shape, count));
  }

  int jobCount() {
    return jobs;
  }

  /** Submits a job; its organisation declares its run time by habit, with some spread. */
  void submit(long atMillis, String organisation, JobMix mix, long mostSeconds) {
    OrganisationId id = new OrganisationId(organisation);
    long runs = mix.runSeconds(random, mostSeconds);
    double declared = runs * habits.get(id) * Math.exp(DECLARED_SPREAD * random.nextGaussian());
    boolean checkpointable = random.nextDouble() < mix.checkpointableShare();
    Job job =
        new Job(
            new JobId("job-%05d".formatted(jobs++)),
            id,
            Optional.empty(),
            mix.shape(random),
            mix.urgent(),
            checkpointable,
            Math.max(1, Math.round(declared)),
            atMillis,
            "trace");
    long checkpoint = random.nextLong(LEAST_CHECKPOINT_MILLIS, MOST_CHECKPOINT_MILLIS);
    boolean obeys = checkpointable && random.nextDouble() < 0.95;
    events.add(
        new TraceEvent.Submitted(
            job,
            new JobBehaviour(
                runs,
                OptionalLong.empty(),
                obeys ? OptionalLong.of(checkpoint) : OptionalLong.empty())));
  }

  /** Submits a job that can never finish: each attempt fails after a while. */
  void submitHopeless(long atMillis, String organisation, Shape shape, long failsAfterSeconds) {
    Job job =
        new Job(
            new JobId("job-%05d".formatted(jobs++)),
            new OrganisationId(organisation),
            Optional.empty(),
            shape,
            false,
            false,
            3600,
            atMillis,
            "trace");
    events.add(
        new TraceEvent.Submitted(
            job, new JobBehaviour(3600, OptionalLong.of(failsAfterSeconds), OptionalLong.empty())));
  }

  void event(TraceEvent event) {
    events.add(event);
  }

  /** Lets a worker go silent for a while. */
  void lapse(long atMillis, long lengthMillis) {
    WorkerId worker = anyWorker();
    events.add(new TraceEvent.Lapsed(atMillis, worker));
    events.add(new TraceEvent.Returned(atMillis + lengthMillis, worker));
  }

  /** Lets a worker fail all that it starts for a while. */
  void failing(long atMillis, long lengthMillis, long afterSeconds) {
    WorkerId worker = anyWorker();
    events.add(new TraceEvent.Failing(atMillis, worker, afterSeconds));
    events.add(new TraceEvent.Recovered(atMillis + lengthMillis, worker));
  }

  /** Cancels so many of the jobs submitted in the last hour before a time. */
  void cancelWave(long atMillis, int count) {
    List<JobId> recent = new ArrayList<>();
    for (TraceEvent e : events) {
      if (e instanceof TraceEvent.Submitted s
          && s.atMillis() <= atMillis
          && s.atMillis() > atMillis - 3_600_000) {
        recent.add(s.job().id());
      }
    }
    for (int i = 0; i < count && !recent.isEmpty(); i++) {
      JobId job = recent.remove(random.nextInt(recent.size()));
      events.add(new TraceEvent.Cancelled(atMillis, job));
    }
  }

  private WorkerId anyWorker() {
    return workers.get(random.nextInt(workers.size())).id();
  }

  Trace build() {
    events.sort(Comparator.comparingLong(TraceEvent::atMillis));
    organisations.sort(Comparator.comparing(Organisation::id));
    guarantees.sort(Comparator.comparing(GuaranteedShape::name));
    workers.sort(Comparator.comparing(Worker::id));
    PolicyPreferences base = PolicyPreferences.DEFAULT;
    PolicyPreferences policy =
        new PolicyPreferences(
            fragmentationWeight,
            base.reclaimBound(),
            base.checkpointNotice(),
            base.urgentStartBound(),
            maxWait,
            base.maxAttempts());
    List<Rule> rules =
        List.of(
            new Rule(1, List.of(new Condition.Urgent(true)), new Verdict.Admit(10, true)),
            new Rule(2, List.of(), new Verdict.Admit(0, true)));
    Declarations declarations =
        new Declarations(organisations, guarantees, rules, new Fleet(workers, List.of()), policy);
    return new Trace(declarations, WorkerTiming.DEFAULT, events);
  }
}
