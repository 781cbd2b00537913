package org.fescuehook.bench.batch;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.BatchCore;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.BatchPreferences;
import org.fescuehook.model.preferences.WorkPreferences;

/**
 * The decision core as the owner of a fleet, with a store and executors that answer at once, and
 * with executors whose tasks never end, so that the fleet fills up and jobs wait.
 */
final class LoadedOwner {

  /** How long callers wait. */
  private static final Duration PATIENCE = Duration.ofMillis(2800);

  private static final String KEY = "key";
  private static final String QUEUE = "bulk";
  private static final int RACK = 8;

  /** Tasks of each job. */
  static final int TASKS_PER_JOB = 16;

  private static final ResourceVector CAPACITY = new ResourceVector(64_000, 262_144, 8);
  private static final ResourceVector TASK = new ResourceVector(5_600, 16_000, 1);

  private final BatchCore core;
  private final Map<String, byte[]> stored;
  private final List<ExecutorProfile> fleet = new ArrayList<>();
  private final Deque<BatchEvent> events = new ArrayDeque<>();
  private final Map<ExecutorId, BatchCommand.Order> openPolls = new HashMap<>();
  private long nowNanos;
  private long offset;
  private int jobs;

  /**
   * Creates a core that does not own yet.
   *
   * @param stored the records of the jobs' stream; shared with later owners
   */
  LoadedOwner(int executors, Map<String, byte[]> stored) {
    this.stored = stored;
    this.core =
        new BatchCore(
            new OwnerIdentity(new VmId("vm"), "start", "10.0.0.1:7000", 1000), preferences());
    for (int i = 0; i < executors; i++) {
      fleet.add(executor(i));
    }
  }

  private static BatchPreferences preferences() {
    WorkPreferences work =
        new WorkPreferences(
            Duration.ofMillis(500),
            Duration.ofMillis(250),
            Duration.ofMillis(200),
            Duration.ofMillis(3000),
            Duration.ofMillis(2700));
    return new BatchPreferences(Duration.ofSeconds(6), Duration.ofSeconds(120), work, false);
  }

  private static ExecutorProfile executor(int number) {
    RackId rack = new RackId("r" + number / RACK);
    return new ExecutorProfile(
        Incarnation.ofUnknownStart(new ExecutorId("e" + number)),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        "pool",
        new FailureDomain("a"),
        rack,
        Set.of(rack.value()),
        CAPACITY,
        false,
        0);
  }

  /** Claims ownership and loads the jobs, up to the first decision. */
  void takeOver() {
    JobQueue queue = new JobQueue(QUEUE, "pool", 2, 2, 3, 3000, false, false);
    BatchOrganisation holder = new BatchOrganisation("north", Set.of(KEY), 0);
    events.add(new BatchEvent.EvacuationsRead(Set.of(), 0, OptionalLong.empty()));
    events.add(
        new BatchEvent.ConfigurationRead(
            new BatchConfiguration(1, Map.of(QUEUE, queue), List.of(holder))));
    events.add(new BatchEvent.OwnershipRead(Optional.empty(), stored.size()));
    nowNanos += Duration.ofSeconds(3).toNanos();
    settle();
  }

  /** Submits jobs until so many tasks wait or run. */
  void submitTasks(int tasks) {
    for (int submitted = 0; submitted < tasks; submitted += TASKS_PER_JOB) {
      jobs++;
      BatchStep step =
          new BatchStep(
              TASKS_PER_JOB,
              TASK,
              6000,
              List.of(),
              BatchStep.PlacementRule.ANYWHERE,
              true,
              false,
              "image");
      Submission submission = new Submission("spec", List.of(step), Optional.empty());
      String id = "%016x".formatted(jobs);
      BatchCall call = new BatchCall.Submit(QUEUE, KEY, id, submission);
      events.add(new BatchEvent.Called(jobs, call, PATIENCE));
    }
    settle();
  }

  /** Lets a plan be made by the passing of time. */
  void plan() {
    nowNanos += Duration.ofMillis(250).toNanos();
    core.apply(new BatchEvent.Tick(), nowNanos, nowNanos / 1_000_000);
  }

  private void settle() {
    while (!events.isEmpty()) {
      nowNanos += 1000;
      core.apply(events.remove(), nowNanos, nowNanos / 1_000_000).forEach(this::carryOut);
    }
  }

  private void carryOut(BatchCommand command) {
    switch (command) {
      case BatchCommand.Append append -> {
        append.records().forEach(this::store);
        AppendOutcome done = new AppendOutcome.Stored(offset++);
        events.add(new BatchEvent.Appended(append.stream(), append.position(), done));
      }
      case BatchCommand.LoadState load -> {
        List<KeyedRecord> records = new ArrayList<>();
        stored.forEach((key, value) -> records.add(new KeyedRecord(key, Optional.of(value))));
        events.add(new BatchEvent.StateRead(load.epoch(), records, Optional.empty()));
      }
      case BatchCommand.FollowExecutors following ->
          events.add(new BatchEvent.ExecutorsListed(fleet));
      case BatchCommand.Order order -> order(order);
      default -> {}
    }
  }

  private void store(KeyedRecord record) {
    boolean ofJobs = record.key().startsWith("j/") || record.key().startsWith("p/");
    if (ofJobs) {
      record
          .value()
          .ifPresentOrElse(
              value -> stored.put(record.key(), value), () -> stored.remove(record.key()));
    }
  }

  /** A poll is answered once, so that the executor is known; later ones wait for an end. */
  private void order(BatchCommand.Order order) {
    ExecutorId id = order.executor().id();
    boolean poll = order.order() instanceof ExecutorOrder.Poll;
    if (poll && openPolls.put(id, order) != null) {
      return;
    }
    OrderOutcome outcome =
        poll
            ? new OrderOutcome.Polled(
                OptionalLong.empty(), nowNanos / 1_000_000, List.of(), List.of(), false)
            : new OrderOutcome.Done(nowNanos / 1_000_000);
    events.add(new BatchEvent.OrderEnded(id, order.number(), outcome));
  }

  /** Returns an empty stream of jobs. */
  static Map<String, byte[]> emptyStream() {
    return new LinkedHashMap<>();
  }
}
