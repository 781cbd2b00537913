package org.fescuehook.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.control.ControlCommand;
import org.fescuehook.logic.control.ControlCore;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.logic.platform.LogAppender.AppendResult;
import org.fescuehook.logic.worker.WorkerPort;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.net.caller.RequestPath;
import org.fescuehook.net.duty.DutyRing;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.SlotShares;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty of the decision thread: applies events to the decision core and executes the commands it
 * returns.
 */
final class DecisionDuty implements DutyRing.Handler<DecisionRing.Item> {

  private static final Logger LOGGER = LoggerFactory.getLogger(DecisionDuty.class);
  private static final String STREAM = "control";
  private static final int RETRY_AFTER_SECONDS = 1;

  private final ControlCore core;
  private final DecisionRing ring;
  private final LogAppender log;
  private final WorkerPort workers;
  private final RequestPath requests;
  private final ConfigurationKeeper configuration;
  private final VmState state;
  private final MeterRegistry meters;
  private final long tickNanos;
  private final Map<Long, Consumer<Answer>> pendingRequests = new HashMap<>();
  private final Deque<ControlEvent> followUps = new ArrayDeque<>();
  private long lastTickNanos = System.nanoTime();
  private boolean halted;

  DecisionDuty(
      ControlCore core,
      DecisionRing ring,
      LogAppender log,
      WorkerPort workers,
      RequestPath requests,
      ConfigurationKeeper configuration,
      VmState state,
      Duration tick,
      MeterRegistry meters) {
    this.core = core;
    this.ring = ring;
    this.log = log;
    this.workers = workers;
    this.requests = requests;
    this.configuration = configuration;
    this.state = state;
    this.tickNanos = tick.toNanos();
    this.meters = meters;
  }

  @Override
  public void accept(DecisionRing.Item item) {
    switch (item) {
      case DecisionRing.Item.EventItem eventItem -> decide(eventItem.event());
      case DecisionRing.Item.RequestItem requestItem -> handleRequest(requestItem);
    }
    tickIfDue();
  }

  @Override
  public void idle() {
    tickIfDue();
  }

  private void handleRequest(DecisionRing.Item.RequestItem requestItem) {
    if (halted) {
      requestItem.sink().accept(notReady("decisions are halted"));
      return;
    }
    pendingRequests.put(requestItem.ticket(), requestItem.sink());
    decide(new ControlEvent.Asked(requestItem.ticket(), requestItem.request()));
  }

  private void tickIfDue() {
    long now = System.nanoTime();
    if (now - lastTickNanos < tickNanos) {
      return;
    }
    lastTickNanos = now;
    decide(new ControlEvent.Tick());
  }

  private void decide(ControlEvent event) {
    apply(event);
    while (!followUps.isEmpty()) {
      apply(followUps.poll());
    }
  }

  private void apply(ControlEvent event) {
    if (halted) {
      return;
    }
    long start = System.nanoTime();
    commandsFor(event, start).forEach(this::executeSafely);
    state.setControlNext(core.nextOffset());
    if (event instanceof ControlEvent.CaughtUp) {
      state.setCaughtUp();
    }
    meters
        .timer("fescuehook.decision", "event", event.getClass().getSimpleName())
        .record(System.nanoTime() - start, TimeUnit.NANOSECONDS);
  }

  private List<ControlCommand> commandsFor(ControlEvent event, long nowNanos) {
    try {
      return core.apply(event, nowNanos, System.currentTimeMillis());
    } catch (RuntimeException e) {
      handleFault(event, e);
      return List.of();
    }
  }

  private void handleFault(ControlEvent event, RuntimeException fault) {
    meters.counter("fescuehook.decision.fault").increment();
    if (event instanceof ControlEvent.RecordRead read) {
      // Halts, as a partly applied record would make this VM's state differ from that of the
      // others.
      halt(read.record().offset(), fault);
      return;
    }
    EventLog.error(LOGGER, EntryEvent.DECISION_FAULT, event.getClass().getSimpleName(), fault);
    if (event instanceof ControlEvent.Asked asked) {
      answer(asked.ticket(), notReady("the decision core met a fault"));
    }
  }

  private void halt(long offset, RuntimeException fault) {
    halted = true;
    state.setHalted();
    EventLog.error(LOGGER, EntryEvent.DECISIONS_HALTED, offset, fault);
    pendingRequests.values().forEach(sink -> sink.accept(notReady("decisions are halted")));
    pendingRequests.clear();
  }

  private static Answer notReady(String detail) {
    return new Answer.Refused(RefusalReason.NOT_READY, detail, RETRY_AFTER_SECONDS);
  }

  /** Executes a command and logs its exception, so that the other commands are still executed. */
  private void executeSafely(ControlCommand command) {
    try {
      execute(command);
    } catch (RuntimeException e) {
      meters.counter("fescuehook.decision.fault").increment();
      EventLog.error(LOGGER, EntryEvent.COMMAND_FAULT, command.getClass().getSimpleName(), e);
    }
  }

  private void execute(ControlCommand command) {
    switch (command) {
      case ControlCommand.Append append -> append(append.record());
      case ControlCommand.Send send -> workers.send(send.worker(), send.command());
      case ControlCommand.Reply reply -> answer(reply.ticket(), reply.answer());
      case ControlCommand.ConfigurationInForce inForce ->
          configuration.offer(inForce.configuration(), "log");
      case ControlCommand.SharesInForce inForce -> updateShares(inForce.shares());
      case ControlCommand.Note note -> EventLog.info(LOGGER, note.event(), note.arguments());
      case ControlCommand.Count count -> meters.counter(count.name(), count.tags()).increment();
    }
  }

  private void updateShares(SlotShares shares) {
    requests.sharesInForce(shares);
    state.setShares(shares);
  }

  private void append(ControlRecord record) {
    long sequence = record.getSequence();
    boolean accepted =
        log.offer(STREAM, record.toByteArray(), result -> appended(sequence, result));
    if (!accepted) {
      followUps.add(new ControlEvent.AppendFailed(sequence, true));
    }
  }

  private void appended(long sequence, AppendResult result) {
    switch (result) {
      case AppendResult.Appended appended -> {}
      case AppendResult.NotAppended notAppended ->
          ring.publish(new ControlEvent.AppendFailed(sequence, true));
      case AppendResult.Unknown unknown ->
          ring.publish(new ControlEvent.AppendFailed(sequence, false));
    }
  }

  private void answer(long ticket, Answer answer) {
    Optional.ofNullable(pendingRequests.remove(ticket)).ifPresent(sink -> sink.accept(answer));
  }
}
