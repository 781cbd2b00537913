package org.fescuehook.logic.batch.maintenance;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.EpochNumbers;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;

/** Reads the list of machines again and again, and keeps the newest one. */
final class MachineReader {

  /** Pause between two reads; a machine is away for 2 s or longer. */
  private static final long PAUSE_NANOS = Duration.ofMillis(400).toNanos();

  /** Age up to which a list is used to begin maintenance; a slow API takes seconds for a read. */
  private static final long MAX_AGE_NANOS = Duration.ofSeconds(6).toNanos();

  /**
   * Reads in a row, and the time between the first and the last of them, without a machine after
   * which it no longer exists. The list may lack machines for a moment.
   */
  private static final int READS_UNTIL_GONE = 5;

  private static final long GONE_NANOS = Duration.ofSeconds(10).toNanos();

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(15);
  private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

  private final PendingCall pending = new PendingCall(READ_TIMEOUT);
  private final Map<MachineId, Absence> absent = new HashMap<>();
  private Map<MachineId, Machine> newest = Map.of();
  private OptionalLong newestRequestedAt = OptionalLong.empty();
  private OptionalLong loggedAt = OptionalLong.empty();
  private long number;
  private long requestedAt;
  private long nextAt;

  /** Reads in a row without a machine, and when the first of them was requested. */
  private record Absence(long since, int reads) {

    Absence more() {
      return new Absence(since, reads + 1);
    }
  }

  MachineReader(long epoch, BatchContext context) {
    this.number = EpochNumbers.before(epoch);
    this.nextAt = context.nowNanos();
  }

  /** Requests the list if that is due. */
  void step(BatchContext context) {
    if (pending.isPending(context) || context.nowNanos() - nextAt < 0) {
      return;
    }
    pending.begin(context);
    requestedAt = context.nowNanos();
    number++;
    context.add(new BatchCommand.ListMachines(number));
  }

  /** Applies a list; returns whether it is the one that was requested last. */
  boolean listed(long ofNumber, List<Machine> machines, BatchContext context) {
    if (ofNumber != number) {
      return false;
    }
    if (machines.isEmpty()) {
      // An API that has just started may know no machine yet.
      failed(ofNumber, "no machine in it", context);
      return false;
    }
    pending.end();
    nextAt = context.nowNanos() + PAUSE_NANOS;
    Map<MachineId, Machine> before = newest;
    newest = new HashMap<>();
    machines.forEach(machine -> newest.put(machine.id(), machine));
    before.keySet().forEach(id -> absent.putIfAbsent(id, new Absence(requestedAt, 0)));
    newest.keySet().forEach(absent::remove);
    absent.replaceAll((id, absence) -> absence.more());
    newestRequestedAt = OptionalLong.of(requestedAt);
    return true;
  }

  /** Applies that the list could not be read. */
  void failed(long ofNumber, String cause, BatchContext context) {
    if (ofNumber != number) {
      return;
    }
    pending.end();
    nextAt = context.nowNanos() + PAUSE_NANOS;
    boolean logged =
        loggedAt.isPresent() && context.nowNanos() - loggedAt.getAsLong() < LOG_INTERVAL_NANOS;
    if (!logged) {
      loggedAt = OptionalLong.of(context.nowNanos());
      context.note(BatchLogEvent.MACHINES_UNREADABLE, cause);
    }
  }

  /** Forgets the list, since it is not read for a while. */
  void pause(BatchContext context) {
    newest = Map.of();
    absent.clear();
    newestRequestedAt = OptionalLong.empty();
    nextAt = context.nowNanos();
  }

  /** Tells whether this owner has read the list, and recently. */
  boolean fresh(BatchContext context) {
    return newestRequestedAt.isPresent()
        && context.nowNanos() - newestRequestedAt.getAsLong() < MAX_AGE_NANOS;
  }

  /** Tells whether the newest list was requested after a time. */
  boolean requestedAfter(long nanos) {
    return newestRequestedAt.isPresent() && newestRequestedAt.getAsLong() - nanos > 0;
  }

  /** Finds a machine in the newest list. */
  Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(newest.get(id));
  }

  /** Tells whether a machine is listed and not up. */
  boolean notUp(MachineId id) {
    return find(id).filter(machine -> !machine.up()).isPresent();
  }

  /**
   * Tells whether a machine no longer exists, as reads in a row have lacked it for a while. For a
   * machine that this owner has never seen listed, that counts from its first read on.
   */
  boolean gone(MachineId id) {
    if (newestRequestedAt.isEmpty() || newest.containsKey(id)) {
      return false;
    }
    long last = newestRequestedAt.getAsLong();
    Absence absence = absent.computeIfAbsent(id, unseen -> new Absence(last, 1));
    return absence.reads() >= READS_UNTIL_GONE && last - absence.since() >= GONE_NANOS;
  }
}
