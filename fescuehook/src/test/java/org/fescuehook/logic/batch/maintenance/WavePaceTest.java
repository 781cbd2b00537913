package org.fescuehook.logic.batch.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/** Guards the arithmetic of pace and rate, and the records of waves. */
class WavePaceTest {

  private static WavePace pace(int left, long timeLeftMillis) {
    return new WavePace(left, 8, timeLeftMillis, 3000);
  }

  @Test
  void withoutWaitingWorkTheCapIsUsed() {
    assertEquals(8, pace(60, 1_000_000).machinesAtOnce(5000, false));
  }

  @Test
  void waitingWorkSlowsTheWaveAsFarAsTheDeadlineAllows() {
    assertEquals(1, pace(60, 1_000_000).machinesAtOnce(5000, true));
    assertEquals(4, pace(30, 122_000).machinesAtOnce(5000, true));
    assertEquals(8, pace(60, 40_000).machinesAtOnce(5000, true));
    assertEquals(8, pace(60, -1).machinesAtOnce(5000, true));
    assertEquals(0, new WavePace(3, 0, 9000, 3000).machinesAtOnce(5000, true));
  }

  /** 60 machines take 8 rounds of 3 s each; the last ones may wait until the last round. */
  @Test
  void laterMachinesMayWaitLongerForTheirRuns() {
    assertEquals(100_000 - 2000 - 24_000, pace(60, 100_000).spareMillis(0));
    assertEquals(100_000 - 2000 - 3000, pace(60, 100_000).spareMillis(59));
  }

  @Test
  void fourFifthsOfTheRateAreUsedInAnySecond() {
    CallLimit limit = new CallLimit(5);
    for (int i = 0; i < 4; i++) {
      assertEquals(true, limit.take(i));
    }
    assertEquals(false, limit.take(999_999_999));
    assertEquals(true, limit.take(1_000_000_000));
  }

  @Test
  void recordsAreReadAsTheyWereWritten() throws UnreadableRecordException {
    WaveId wave = new WaveId("7");
    MachineId machine = new MachineId("rack/1");
    WaveCodec.StoredWave stored = new WaveCodec.StoredWave(12, true, Set.of(machine));
    assertEquals(stored, WaveCodec.decodeWave(WaveCodec.encode(stored)));
    WaveCodec.StoredMachine begun = new WaveCodec.StoredMachine(new ExecutorId("i-1"), true);
    assertEquals(begun, WaveCodec.decodeMachine(WaveCodec.encode(begun)));
    assertEquals(
        new WaveCodec.MachineKey(wave, machine),
        WaveCodec.machineOf(WaveCodec.machineKey(wave, machine)).orElseThrow());
    assertEquals(wave, WaveCodec.waveOf(WaveCodec.waveKey(wave)).orElseThrow());
  }
}
