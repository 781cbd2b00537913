package org.fescuehook.logic.batch.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.maintenance.MachineProgress.Stage;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.WaveId;

/** The waves that operators ask for, and what of them is stored in the job stream. */
final class WaveRegistry {

  private final StateWriter writer;
  private final Map<WaveId, WaveProgress> waves = new LinkedHashMap<>();

  /** Creates a registry from what former owners have stored. */
  WaveRegistry(StateWriter writer, List<KeyedRecord> stored, BatchContext context) {
    this.writer = writer;
    for (KeyedRecord record : stored) {
      try {
        restore(record, context);
      } catch (UnreadableRecordException e) {
        context.note(BatchLogEvent.RECORD_UNREADABLE, record.key(), e.getMessage());
      }
    }
  }

  private void restore(KeyedRecord record, BatchContext context) throws UnreadableRecordException {
    byte[] value = record.value().orElseThrow();
    Optional<WaveId> wave = WaveCodec.waveOf(record.key());
    if (wave.isPresent()) {
      WaveProgress restored =
          new WaveProgress(wave.get(), WaveCodec.decodeWave(value), context.nowNanos());
      Optional.ofNullable(waves.put(wave.get(), restored))
          .ifPresent(before -> before.machines().forEach(restored::add));
    }
    Optional<WaveCodec.MachineKey> key = WaveCodec.machineOf(record.key());
    if (key.isPresent()) {
      WaveProgress of =
          waves.computeIfAbsent(key.get().wave(), id -> new WaveProgress(id, unread(context), 0));
      of.machine(key.get().machine(), context.nowNanos())
          .restore(WaveCodec.decodeMachine(value), context.nowNanos());
    }
  }

  private static WaveCodec.StoredWave unread(BatchContext context) {
    return new WaveCodec.StoredWave(context.wallMillis(), false, Set.of());
  }

  /** Replaces the waves that operators ask for. */
  void ask(List<MaintenanceWave> asked, BatchContext context) {
    Set<WaveId> ids = new HashSet<>();
    for (MaintenanceWave wave : asked) {
      ids.add(wave.id());
      ask(wave, context);
    }
    for (WaveProgress wave : waves.values()) {
      if (!ids.contains(wave.id()) && wave.withdraw(context.nowNanos())) {
        long away = wave.machines().stream().filter(MachineProgress::away).count();
        context.note(BatchLogEvent.WAVE_WITHDRAWN, wave.id(), away);
      }
    }
  }

  private void ask(MaintenanceWave asked, BatchContext context) {
    WaveProgress wave =
        waves.computeIfAbsent(
            asked.id(), id -> new WaveProgress(id, unread(context), context.nowNanos()));
    if (wave.wave().filter(asked::equals).isPresent()) {
      return;
    }
    wave.ask(asked, context.nowNanos(), context.wallMillis());
    store(wave);
    context.note(
        BatchLogEvent.WAVE_ASKED,
        asked.id(),
        asked.machines().size(),
        asked.cap(),
        wave.timeLeftMillis(context.wallMillis()),
        wave.in(Stage.BEGUN).size());
  }

  Collection<WaveProgress> all() {
    return waves.values();
  }

  Optional<WaveProgress> find(WaveId id) {
    return Optional.ofNullable(waves.get(id));
  }

  /** Returns the open waves, those with the nearest deadline first. */
  List<WaveProgress> open(BatchContext context) {
    List<WaveProgress> open = new ArrayList<>(waves.values());
    open.removeIf(wave -> !wave.open());
    open.sort(
        (one, other) ->
            Long.compare(
                one.timeLeftMillis(context.wallMillis()),
                other.timeLeftMillis(context.wallMillis())));
    return open;
  }

  /** Tells whether a wave is open or a machine is away because of a wave. */
  boolean active() {
    return waves.values().stream()
        .anyMatch(wave -> wave.open() || wave.machines().stream().anyMatch(MachineProgress::away));
  }

  /** Returns what is known of a machine, for each wave that it is or was part of. */
  List<MachineProgress> of(MachineId machine) {
    return waves.values().stream().flatMap(wave -> wave.find(machine).stream()).toList();
  }

  /**
   * Returns how many machines of a wave are away, for whatever cause: those listed as not up, and
   * those whose maintenance was called for any wave.
   */
  int away(WaveProgress wave, MachineReader reader) {
    return (int)
        wave.machines().stream()
            .filter(machine -> machine.wanted() || machine.away())
            .filter(machine -> away(machine.machine(), reader))
            .count();
  }

  private boolean away(MachineId machine, MachineReader reader) {
    return reader.notUp(machine) || of(machine).stream().anyMatch(MachineProgress::away);
  }

  /**
   * Tells whether one more machine may go away without exceeding the cap of any wave that it is
   * part of.
   */
  boolean mayGo(MachineId machine, MachineReader reader) {
    for (MachineProgress part : of(machine)) {
      WaveProgress wave = waves.get(part.wave());
      boolean limits = part.wanted() && wave.limits();
      if (limits && away(wave, reader) >= wave.cap()) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether no wave that a machine is part of has more machines away than its cap allows. */
  boolean withinCaps(MachineId machine, MachineReader reader) {
    for (MachineProgress part : of(machine)) {
      WaveProgress wave = waves.get(part.wave());
      if (part.wanted() && wave.limits() && away(wave, reader) > wave.cap()) {
        return false;
      }
    }
    return true;
  }

  private void store(WaveProgress wave) {
    writer.put(
        WaveCodec.waveKey(wave.id()),
        () ->
            Optional.of(
                WaveCodec.encode(
                    new WaveCodec.StoredWave(
                        wave.firstReadMillis(), wave.completed(), wave.settled()))),
        () -> {});
  }

  /** Stores that a wave is completed, and removes the records of its machines. */
  void storeCompleted(WaveProgress wave) {
    store(wave);
    wave.machines().forEach(this::remove);
  }

  /**
   * Stores the progress of a machine.
   *
   * @param committed called once it is stored
   */
  void store(MachineProgress machine, Runnable committed) {
    WaveCodec.StoredMachine value =
        new WaveCodec.StoredMachine(machine.executor().orElseThrow(), machine.in(Stage.BEGUN));
    writer.put(
        WaveCodec.machineKey(machine.wave(), machine.machine()),
        () -> Optional.of(WaveCodec.encode(value)),
        committed);
  }

  /** Removes the record of a machine, as its maintenance has not begun and no call is open. */
  void remove(MachineProgress machine) {
    writer.put(WaveCodec.machineKey(machine.wave(), machine.machine()), Optional::empty, () -> {});
  }

  /** Forgets withdrawn waves of which no machine is away. */
  void forgetWithdrawn() {
    List<WaveProgress> forgotten =
        waves.values().stream().filter(WaveProgress::forgettable).toList();
    for (WaveProgress wave : forgotten) {
      waves.remove(wave.id());
      writer.put(WaveCodec.waveKey(wave.id()), Optional::empty, () -> {});
      wave.machines().forEach(this::remove);
    }
  }
}
