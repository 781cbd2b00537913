package org.fescuehook.logic.batch.maintenance;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Encodes and decodes what is stored of maintenance waves in the job stream: one record for each
 * wave, and one for each machine of it for which a call was about to be made. A record is text with
 * one field a line; fields are only appended.
 */
public final class WaveCodec {

  private static final String WAVE_PREFIX = "v/";
  private static final String MACHINE_PREFIX = "m/";
  private static final String YES = "1";
  private static final String NO = "0";
  private static final int FIELDS = 2;

  private WaveCodec() {}

  /**
   * What is stored of a wave.
   *
   * @param firstReadMillis when the wave was first read, milliseconds since 1970
   * @param completed whether operators were told that it is completed
   * @param settled the machines for which nothing was left to do then
   */
  record StoredWave(long firstReadMillis, boolean completed, Set<MachineId> settled) {}

  /**
   * What is stored of a machine before its maintenance is called.
   *
   * @param executor the executor that it ran then
   * @param begun whether the call was confirmed
   */
  record StoredMachine(ExecutorId executor, boolean begun) {}

  /** A machine of a wave. */
  record MachineKey(WaveId wave, MachineId machine) {}

  /** Tells whether a key of the job stream belongs to a maintenance wave. */
  public static boolean isWaveKey(String key) {
    return key.startsWith(WAVE_PREFIX) || key.startsWith(MACHINE_PREFIX);
  }

  static String waveKey(WaveId wave) {
    return WAVE_PREFIX + wave.value();
  }

  /** Wave names have no slash, as the first one of a key separates them from the machine. */
  static String machineKey(WaveId wave, MachineId machine) {
    return MACHINE_PREFIX + wave.value() + "/" + machine.value();
  }

  static Optional<WaveId> waveOf(String key) {
    return key.startsWith(WAVE_PREFIX)
        ? Optional.of(new WaveId(key.substring(WAVE_PREFIX.length())))
        : Optional.empty();
  }

  static Optional<MachineKey> machineOf(String key) {
    if (!key.startsWith(MACHINE_PREFIX)) {
      return Optional.empty();
    }
    String names = key.substring(MACHINE_PREFIX.length());
    int slash = names.indexOf('/');
    if (slash < 0) {
      return Optional.empty();
    }
    WaveId wave = new WaveId(names.substring(0, slash));
    return Optional.of(new MachineKey(wave, new MachineId(names.substring(slash + 1))));
  }

  static byte[] encode(StoredWave wave) {
    StringBuilder lines = new StringBuilder();
    lines.append(wave.firstReadMillis()).append('\n').append(wave.completed() ? YES : NO);
    wave.settled().stream().sorted().forEach(id -> lines.append('\n').append(id.value()));
    return text(lines.toString());
  }

  static byte[] encode(StoredMachine machine) {
    return text(machine.executor().value() + "\n" + (machine.begun() ? YES : NO));
  }

  private static byte[] text(String value) {
    return value.getBytes(StandardCharsets.UTF_8);
  }

  static StoredWave decodeWave(byte[] value) throws UnreadableRecordException {
    List<String> fields = fields(value);
    try {
      Set<MachineId> settled =
          fields.stream().skip(FIELDS).map(MachineId::new).collect(Collectors.toSet());
      return new StoredWave(Long.parseLong(fields.get(0)), fields.get(1).equals(YES), settled);
    } catch (IllegalArgumentException e) {
      throw new UnreadableRecordException("maintenance wave", e);
    }
  }

  static StoredMachine decodeMachine(byte[] value) throws UnreadableRecordException {
    List<String> fields = fields(value);
    try {
      return new StoredMachine(new ExecutorId(fields.get(0)), fields.get(1).equals(YES));
    } catch (IllegalArgumentException e) {
      throw new UnreadableRecordException("maintenance of a machine", e);
    }
  }

  private static List<String> fields(byte[] value) throws UnreadableRecordException {
    List<String> fields = new String(value, StandardCharsets.UTF_8).lines().toList();
    if (fields.size() < FIELDS) {
      throw new UnreadableRecordException(
          "record of maintenance", new IllegalArgumentException("a field is missing"));
    }
    return fields;
  }
}
