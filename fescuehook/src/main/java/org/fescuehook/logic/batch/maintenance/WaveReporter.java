package org.fescuehook.logic.batch.maintenance;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.WaveId;

/**
 * Writes the states of waves for operators. The store rejects those of a former owner, which has a
 * lower epoch.
 */
final class WaveReporter {

  private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();

  private final long epoch;
  private final PendingCall pending = new PendingCall(PendingCall.APPEND_TIMEOUT);
  private final Map<WaveId, Report> waiting = new LinkedHashMap<>();
  private Map<WaveId, Report> inFlight = Map.of();
  private long sequence;
  private long nextAt;
  private boolean fenced;

  private record Report(WaveState state, Runnable written) {}

  WaveReporter(long epoch, BatchContext context) {
    this.epoch = epoch;
    this.nextAt = context.nowNanos();
  }

  /** Writes the state of a wave; a newer state replaces one that has not been sent. */
  void report(WaveId wave, WaveState state, Runnable written) {
    waiting.put(wave, new Report(state, written));
  }

  void step(BatchContext context) {
    if (fenced || pending.isPending(context) || context.nowNanos() - nextAt < 0) {
      return;
    }
    if (inFlight.isEmpty()) {
      if (waiting.isEmpty()) {
        return;
      }
      inFlight = new LinkedHashMap<>(waiting);
      waiting.clear();
    }
    pending.begin(context);
    Map<WaveId, WaveState> states = new LinkedHashMap<>();
    inFlight.forEach((wave, report) -> states.put(wave, report.state()));
    context.add(new BatchCommand.ReportWaves(new WriterPosition(epoch, sequence), states));
  }

  /** Applies the outcome of a write. */
  void written(WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (!position.equals(new WriterPosition(epoch, sequence))) {
      return;
    }
    pending.end();
    boolean done = outcome instanceof AppendOutcome.Stored;
    nextAt = done ? context.nowNanos() : context.nowNanos() + RETRY_NANOS;
    switch (outcome) {
      case AppendOutcome.Stored stored -> confirm();
      case AppendOutcome.OutOfSequence(long expected) when expected == sequence + 1 -> confirm();
      case AppendOutcome.OutOfSequence(long expected) -> sequence = expected;
      case AppendOutcome.Fenced newer -> fenced = true;
      case AppendOutcome.Refused _, AppendOutcome.Unanswered _, AppendOutcome.Conflict _ -> {}
    }
  }

  private void confirm() {
    sequence++;
    Map<WaveId, Report> done = inFlight;
    inFlight = Map.of();
    done.values().forEach(report -> report.written().run());
  }
}
