package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchCore;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.net.duty.DutyRing;
import org.fescuehook.platform.AdviceClient;
import org.fescuehook.platform.ExecutorClient;
import org.fescuehook.platform.ExecutorProbe;
import org.fescuehook.platform.MachineClient;
import org.fescuehook.platform.PlatformStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty of the decision thread: applies events to the core and executes the commands it returns.
 */
final class BatchDuty implements DutyRing.Handler<BatchRing.Item> {

  private static final Logger LOGGER = LoggerFactory.getLogger(BatchDuty.class);

  /** Histogram buckets, from the duration of an append to that of a long wait of a job. */
  private static final Duration[] HISTOGRAM_BUCKETS =
      Stream.of(10, 30, 100, 300, 1000, 3000, 10_000, 30_000)
          .map(Duration::ofMillis)
          .toArray(Duration[]::new);

  /**
   * Longest time between two ticks, and thus the longest delay of a deadline. A suspected failure
   * of the owner arrives as an event and does not wait for a tick. On a standby VM this reduces the
   * wake-ups from 20 to 4 per second.
   */
  private static final Duration MAX_IDLE_TIME = Duration.ofMillis(250);

  private final BatchCore core;
  private final PlatformStore store;
  private final ExecutorClient executors;
  private final ExecutorProbe probe;
  private final AdviceClient advice;
  private final MachineClient machines;
  private final MeterRegistry meters;
  private final Consumer<OwnerView> views;
  private final Map<Long, Consumer<CallAnswer>> pendingCalls = new HashMap<>();
  private OwnerView view = OwnerView.NONE;

  BatchDuty(
      BatchCore core,
      PlatformStore store,
      ExecutorClient executors,
      ExecutorProbe probe,
      AdviceClient advice,
      MachineClient machines,
      MeterRegistry meters,
      Consumer<OwnerView> views) {
    this.core = core;
    this.store = store;
    this.executors = executors;
    this.probe = probe;
    this.advice = advice;
    this.machines = machines;
    this.meters = meters;
    this.views = views;
  }

  @Override
  public void accept(BatchRing.Item item) {
    accept(item, false);
  }

  @Override
  public void accept(BatchRing.Item item, boolean more) {
    switch (item) {
      case BatchRing.Item.EventItem(BatchEvent event) -> apply(event, more);
      // The ownership event itself has been applied already. A tick is applied instead, as planning
      // for a batch of items is done with its last one.
      case BatchRing.Item.OwnershipPending pending -> apply(new BatchEvent.Tick(), more);
      case BatchRing.Item.CallItem(long ticket, var call, var patience, var sink) -> {
        pendingCalls.put(ticket, sink);
        apply(new BatchEvent.Called(ticket, call, patience), more);
      }
    }
  }

  @Override
  public void idle() {
    apply(new BatchEvent.Tick(), false);
  }

  @Override
  public Duration longestIdle(Duration usual) {
    Duration untilNextDeadline = core.minTimeToClaim(System.nanoTime());
    Duration maxIdleTime =
        untilNextDeadline.compareTo(MAX_IDLE_TIME) < 0 ? untilNextDeadline : MAX_IDLE_TIME;
    return maxIdleTime.compareTo(usual) < 0 ? usual : maxIdleTime;
  }

  private void apply(BatchEvent event, boolean more) {
    try {
      core.apply(event, System.nanoTime(), System.currentTimeMillis(), more)
          .forEach(this::executeSafely);
    } catch (RuntimeException e) {
      EventLog.error(LOGGER, SchedulerEvent.DECISION_FAULT, event.getClass().getSimpleName(), e);
    }
    publishView();
  }

  /**
   * Executes a command and logs its exception, so that the other commands of the same event are
   * still executed.
   */
  private void executeSafely(BatchCommand command) {
    try {
      execute(command);
    } catch (RuntimeException e) {
      EventLog.error(LOGGER, SchedulerEvent.DECISION_FAULT, command.getClass().getSimpleName(), e);
    }
  }

  private void execute(BatchCommand command) {
    switch (command) {
      case BatchCommand.Answer(long ticket, CallAnswer answer) ->
          Optional.ofNullable(pendingCalls.remove(ticket)).ifPresent(sink -> sink.accept(answer));
      case BatchCommand.Append append -> store.append(append);
      case BatchCommand.LoadState load -> store.loadState(load);
      case BatchCommand.FollowExecutors(boolean following) -> follow(following);
      case BatchCommand.Order order -> executors.send(order);
      case BatchCommand.ProbeExecutors request -> probe.probe(request);
      case BatchCommand.AskAdvice question -> advice.ask(question);
      case BatchCommand.ListMachines request -> machines.list(request);
      case BatchCommand.BeginMaintenance call -> machines.begin(call);
      case BatchCommand.ReportWaves report -> store.reportWaves(report);
      case BatchCommand.ForgetExecutor(var id) -> executors.forget(id);
      case BatchCommand.Note(var event, var arguments) ->
          EventLog.info(LOGGER, event, arguments.toArray());
      case BatchCommand.Warning(var event, var arguments) ->
          EventLog.warn(LOGGER, event, arguments.toArray());
      case BatchCommand.Measure(String metric, String tag, String value, long nanos) ->
          Timer.builder(metric)
              .tag(tag, value)
              .serviceLevelObjectives(HISTOGRAM_BUCKETS)
              .register(meters)
              .record(nanos, TimeUnit.NANOSECONDS);
      case BatchCommand.Count(String metric, String tag, String value) ->
          meters.counter(metric, tag, value).increment();
    }
  }

  private void follow(boolean following) {
    store.followExecutors(following);
    if (!following) {
      executors.forgetAll();
    }
  }

  private void publishView() {
    OwnerView newView =
        new OwnerView(core.deciding(), core.ownerHint(), core.handedOver(), core.evacuated());
    if (!newView.equals(view)) {
      view = newView;
      views.accept(newView);
    }
  }
}
