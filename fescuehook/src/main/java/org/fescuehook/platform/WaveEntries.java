package org.fescuehook.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.WaveId;

/**
 * The maintenance waves that operators ask for. A wave is named by the key of its record, and is
 * asked for until that record is removed. A record that cannot be read changes nothing.
 */
final class WaveEntries {

  private static final String KEY_PREFIX = "wave/";

  /** Offset of the newest record of each wave, and the wave; absent once withdrawn. */
  private final Map<WaveId, Entry> entries = new TreeMap<>();

  private record Entry(long offset, Optional<MaintenanceWave> wave) {}

  /** Returns the key of the record in which operators are told the state of a wave. */
  static String key(WaveId wave) {
    return KEY_PREFIX + wave.value();
  }

  /** Replaces all that is known by the newest record of each key. */
  void replace(List<StreamRecord> newest) {
    Map<WaveId, Entry> before = new TreeMap<>(entries);
    entries.clear();
    apply(newest);
    // A wave whose newest record cannot be read stays as it was.
    for (StreamRecord record : newest) {
      id(record.key())
          .filter(wave -> !entries.containsKey(wave) && before.containsKey(wave))
          .ifPresent(wave -> entries.put(wave, before.get(wave)));
    }
  }

  /** Applies records in the order of their offsets. */
  void apply(List<StreamRecord> records) {
    for (StreamRecord record : records) {
      id(record.key()).ifPresent(wave -> apply(wave, record));
    }
  }

  /** Returns the waves that operators ask for, in the order of their names. */
  List<MaintenanceWave> waves() {
    return entries.values().stream().flatMap(entry -> entry.wave().stream()).toList();
  }

  private static Optional<WaveId> id(String key) {
    if (!key.startsWith(KEY_PREFIX)) {
      return Optional.empty();
    }
    String name = key.substring(KEY_PREFIX.length());
    if (name.isBlank() || name.contains("/")) {
      PlatformStore.logUnreadable(
          Topic.OPERATORS, key, new MalformedMessageException("'" + name + "' names no wave"));
      return Optional.empty();
    }
    return Optional.of(new WaveId(name));
  }

  private void apply(WaveId wave, StreamRecord record) {
    // The pages of newest records are no snapshot: records that they include already may follow.
    Entry known = entries.get(wave);
    if (known != null && known.offset() >= record.offset()) {
      return;
    }
    if (record.value().isEmpty()) {
      entries.put(wave, new Entry(record.offset(), Optional.empty()));
      return;
    }
    try {
      MaintenanceWave asked = parse(wave, record.value().orElseThrow());
      entries.put(wave, new Entry(record.offset(), Optional.of(asked)));
    } catch (MalformedMessageException e) {
      PlatformStore.logUnreadable(Topic.OPERATORS, record.key(), e);
    }
  }

  private static MaintenanceWave parse(WaveId wave, byte[] value) throws MalformedMessageException {
    WireFields fields = new WireFields("wave " + wave, WireJson.parse(value));
    if (fields.has("wave") && !fields.object().path("wave").asText().equals(wave.value())) {
      throw new MalformedMessageException("wave " + wave + ": 'wave' names another one");
    }
    List<MachineId> machines = new ArrayList<>();
    for (String machine : fields.texts("machines")) {
      machines.add(new MachineId(machine));
    }
    return new MaintenanceWave(wave, machines, fields.seconds("deadlineS"), fields.count("cap"));
  }
}
