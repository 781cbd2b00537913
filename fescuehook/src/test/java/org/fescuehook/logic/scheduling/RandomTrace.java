package org.fescuehook.logic.scheduling;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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

/** Generates a random trace: a small fleet, its jobs, and two faults of random kinds. */
final class RandomTrace {

  private static final long LENGTH_MILLIS = 3_600_000;
  private static final int FAULT_KINDS = 5;

  private final SplittableRandom random;
  private final List<Worker> workers = new ArrayList<>();
  private final List<Organisation> organisations = new ArrayList<>();
  private final List<TraceEvent> events = new ArrayList<>();
  private int nextJob;

  RandomTrace(long seed) {
    random = new SplittableRandom(seed);
  }

  Trace generate() {
    addWorkers();
    for (int i = 0; i < between(2, 4); i++) {
      organisations.add(new Organisation(new OrganisationId("org" + i), between(1, 3), 100, 1));
    }
    Declarations declarations = withGuarantees();
    for (int i = 0; i < between(6, 16); i++) {
      submit(random.nextLong(LENGTH_MILLIS), OptionalLong.empty());
    }
    addFault();
    addFault();
    events.sort(Comparator.comparingLong(TraceEvent::atMillis));
    return new Trace(declarations, WorkerTiming.DEFAULT, events);
  }

  private int between(int min, int max) {
    return random.nextInt(min, max + 1);
  }

  private void addWorkers() {
    int racks = between(1, 4);
    for (int r = 0; r < racks; r++) {
      for (int i = 0; i < between(2, 4); i++) {
        workers.add(
            new Worker(
                new WorkerId("w" + workers.size()),
                InetSocketAddress.createUnresolved("test", 1),
                new FailureDomain("d" + r % 2),
                new RackId("r" + r),
                new Capacity(between(2, 4), 16, 1000)));
      }
    }
  }

  /** Adds random guarantees, leaving out those that would make the guarantees infeasible. */
  private Declarations withGuarantees() {
    PolicyPreferences policy =
        new PolicyPreferences(
            0.5,
            Duration.ofSeconds(60),
            Duration.ofSeconds(30),
            Duration.ofMillis(3600),
            Duration.ofHours(2),
            3);
    Fleet fleet = new Fleet(workers, List.of());
    List<GuaranteedShape> kept = new ArrayList<>();
    Declarations declarations = new Declarations(organisations, kept, List.of(), fleet, policy);
    for (Organisation o : organisations) {
      GuaranteedShape next = new GuaranteedShape("g" + kept.size(), o.id(), shape(), between(1, 2));
      List<GuaranteedShape> extended = new ArrayList<>(kept);
      extended.add(next);
      Declarations candidate = new Declarations(organisations, extended, List.of(), fleet, policy);
      if (new FeasibilityChecker().infeasibleGuarantees(candidate).isEmpty()) {
        kept.add(next);
        declarations = candidate;
      }
    }
    return declarations;
  }

  private Shape shape() {
    int members = between(1, 4);
    int accelerators = between(0, 3);
    Capacity unit = new Capacity(accelerators, Math.max(1, accelerators * 2), 10);
    return new Shape(members, unit, random.nextBoolean() ? 0 : between(1, 2));
  }

  private void submit(long at, OptionalLong failsAfter) {
    boolean checkpointable = random.nextBoolean();
    Job job =
        new Job(
            new JobId("j" + nextJob++),
            organisations.get(random.nextInt(organisations.size())).id(),
            Optional.empty(),
            shape(),
            random.nextInt(6) == 0,
            checkpointable,
            between(10, 5000),
            at,
            "test");
    OptionalLong checkpoint =
        checkpointable && random.nextInt(4) > 0
            ? OptionalLong.of(between(100, 40_000))
            : OptionalLong.empty();
    JobBehaviour behaviour = new JobBehaviour(between(5, 3000), failsAfter, checkpoint);
    events.add(new TraceEvent.Submitted(job, behaviour));
  }

  private void addFault() {
    long at = random.nextLong(LENGTH_MILLIS);
    WorkerId worker = workers.get(random.nextInt(workers.size())).id();
    long until = at + between(60_000, 1_800_000);
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> pair(new TraceEvent.Lapsed(at, worker), new TraceEvent.Returned(until, worker));
      case 1 -> pair(new TraceEvent.Leaving(at, worker), new TraceEvent.Returned(until, worker));
      case 2 ->
          pair(new TraceEvent.Failing(at, worker, 3), new TraceEvent.Recovered(until, worker));
      case 3 -> submit(at, OptionalLong.of(between(1, 60)));
      default -> cancelHalf(at);
    }
  }

  private void pair(TraceEvent begin, TraceEvent end) {
    events.add(begin);
    events.add(end);
  }

  private void cancelHalf(long at) {
    List<JobId> toCancel = new ArrayList<>();
    for (TraceEvent e : events) {
      if (e instanceof TraceEvent.Submitted s && s.atMillis() < at && random.nextBoolean()) {
        toCancel.add(s.job().id());
      }
    }
    toCancel.forEach(id -> events.add(new TraceEvent.Cancelled(at, id)));
  }
}
