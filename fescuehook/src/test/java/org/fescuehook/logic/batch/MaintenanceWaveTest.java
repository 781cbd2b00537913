package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.junit.jupiter.api.Test;

/**
 * Guards each decision about maintenance waves. {@link ClusterMachines} checks cap, tokens, holders
 * and completion as well, and that no call ends a run.
 */
class MaintenanceWaveTest {

  private static final WaveId WAVE = new WaveId("1");
  private static final WaveId OTHER = new WaveId("2");

  /** A new owner makes no call for 4 s. */
  private static final long FIRST_CALL_MILLIS = 5000;

  private final BatchCluster cluster = new BatchCluster(2, 6, 1);
  private final ClusterMachines machines = cluster.machines;

  MaintenanceWaveTest() {
    machines.addAll();
    cluster.awaitOwner();
  }

  private static MaintenanceWave wave(WaveId id, long seconds, int cap, List<MachineId> machines) {
    return new MaintenanceWave(id, machines, Duration.ofSeconds(seconds), cap);
  }

  private List<MachineId> first(int count) {
    return machines.ids().subList(0, count);
  }

  private static MachineId machine(int number) {
    return new MachineId("m-e" + number);
  }

  private void awaitCompletion(WaveId id, long limitMillis) {
    cluster.runUntil(
        "the end of wave " + id, limitMillis, () -> machines.completedAt(id).isPresent());
    cluster.run(500);
    assertEquals(Optional.of("COMPLETED"), machines.toldState(id));
  }

  @Test
  void machinesAreListedOnlyWhileAWaveIsOpen() {
    cluster.run(10_000);
    assertEquals(0, machines.lists());
    machines.ask(wave(WAVE, 60, 2, first(2)));
    awaitCompletion(WAVE, 20_000);
    cluster.run(3000);
    int lists = machines.lists();
    cluster.run(10_000);
    assertEquals(lists, machines.lists());
  }

  @Test
  void anIdleFleetIsThroughAtThePaceOfTheCap() {
    machines.ask(wave(WAVE, 600, 3, first(6)));
    cluster.run(500);
    assertEquals(Optional.of("IN_PROGRESS"), machines.toldState(WAVE));
    awaitCompletion(WAVE, FIRST_CALL_MILLIS + 2 * 3000);
    assertEquals(3, machines.mostAway());
  }

  @Test
  void idleMachinesGoFirstAndRunsEndByThemselves() {
    cluster.run(FIRST_CALL_MILLIS);
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(3, 8, 8000)));
    cluster.run(1000);
    machines.ask(wave(WAVE, 60, 6, machines.ids()));
    cluster.run(4000);
    assertEquals(3, machines.begun(WAVE));
    awaitCompletion(WAVE, 20_000);
    assertEquals(0, cluster.work.waste.gangsBroken());
    assertEquals(Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED)), cluster.status(job));
  }

  @Test
  void aLongRunWithCheckpointsIsMoved() {
    cluster.run(FIRST_CALL_MILLIS);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.checkpointed(1, 8, 300_000)));
    cluster.run(2000);
    machines.ask(wave(WAVE, 200, 6, machines.ids()));
    awaitCompletion(WAVE, 30_000);
  }

  /** Without a checkpoint the work done is lost, so it is stopped only for the deadline. */
  @Test
  void aLongRunWithoutCheckpointsIsStoppedWhenTheDeadlineIsNear() {
    cluster.run(FIRST_CALL_MILLIS);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(2, 8, 300_000)));
    cluster.run(1000);
    machines.ask(wave(WAVE, 40, 6, machines.ids()));
    cluster.run(28_000);
    assertEquals(4, machines.begun(WAVE));
    assertEquals(0, cluster.work.waste.gangsBroken());
    awaitCompletion(WAVE, 12_000);
  }

  @Test
  void tasksOfALongRunningStepAreMovedAsItTolerates() {
    cluster.run(FIRST_CALL_MILLIS);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.longRunning(4, 8, 1, 0)));
    cluster.run(3000);
    machines.ask(wave(WAVE, 120, 4, machines.ids()));
    for (int i = 0; i < 3000 && machines.completedAt(WAVE).isEmpty(); i++) {
      cluster.run(20);
      long running = cluster.executors.values().stream().mapToLong(e -> e.running().size()).sum();
      assertTrue(running >= 3, () -> running + " tasks run at " + cluster.nowMillis());
    }
    awaitCompletion(WAVE, 1000);
  }

  @Test
  void tasksThatTolerateNoneAwayStayPastTheDeadline() {
    cluster.run(FIRST_CALL_MILLIS);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.longRunning(2, 8, 0, 0)));
    cluster.run(3000);
    machines.ask(wave(WAVE, 20, 6, machines.ids()));
    cluster.run(40_000);
    assertEquals(4, machines.begun(WAVE));
    assertEquals(2, cluster.work.starts().size());
    assertFalse(cluster.notes(BatchLogEvent.WAVE_DELAYED).isEmpty());
  }

  @Test
  void machinesThatNeverComeBackHoldUpNeitherTheOthersNorTheEnd() {
    machines.setNeverBack(machine(1));
    machines.ask(wave(WAVE, 60, 2, first(5)));
    awaitCompletion(WAVE, 30_000);
    assertEquals(5, machines.begun(WAVE));
  }

  @Test
  void asManyMachinesAwayForGoodAsTheCapAllowsStopTheWave() {
    machines.setNeverBack(machine(0));
    machines.setNeverBack(machine(1));
    machines.ask(wave(WAVE, 30, 2, first(5)));
    cluster.run(60_000);
    assertEquals(2, machines.begun(WAVE));
    assertEquals(OptionalLong.empty(), machines.completedAt(WAVE));
    machines.ask(wave(WAVE, 30, 3, first(5)));
    awaitCompletion(WAVE, 30_000);
  }

  @Test
  void machinesThatNoLongerExistAreNotWaitedFor() {
    machines.ask(wave(WAVE, 60, 1, first(4)));
    cluster.run(FIRST_CALL_MILLIS);
    machines.remove(machine(2));
    machines.remove(machine(3));
    awaitCompletion(WAVE, 15_000);
    assertEquals(2, machines.begun(WAVE));
  }

  /** Guards against machines that count as gone as the list lacks them, or all, for a while. */
  @Test
  void aWaveIsNotCompletedWithoutAMachineThatTheListLacksForAWhile() {
    machines.ask(wave(WAVE, 60, 1, first(2)));
    cluster.runUntil("a call", 8000, () -> machines.begun(WAVE) == 1);
    machines.unlisted.addAll(first(2));
    cluster.run(5000);
    machines.unlisted.addAll(machines.ids());
    cluster.run(15_000);
    machines.unlisted.clear();
    awaitCompletion(WAVE, 10_000);
    assertEquals(2, machines.begun(WAVE));
  }

  /**
   * Guards against calls that were stored under a higher cap, and repeated without regard to it.
   */
  @Test
  void aLoweredCapHoldsForCallsThatWereRefusedBefore() {
    machines.tooManyRate = 1;
    machines.ask(wave(WAVE, 60, 6, machines.ids()));
    cluster.runUntil(
        "the calls", 8000, () -> cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size() >= 6);
    machines.ask(wave(WAVE, 60, 2, machines.ids()));
    cluster.run(1000);
    machines.tooManyRate = 0;
    awaitCompletion(WAVE, 30_000);
    assertEquals(2, machines.mostAway());
  }

  @Test
  void aWithdrawnWaveMakesNoFurtherCallsAndItsExecutorsAreUsedAgain() {
    machines.ask(wave(WAVE, 60, 1, first(6)));
    cluster.runUntil("a call", 8000, () -> machines.begun(WAVE) == 1);
    machines.withdraw(WAVE);
    cluster.run(1000);
    long begun = machines.begun(WAVE);
    cluster.run(8000);
    assertEquals(begun, machines.begun(WAVE));
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(6, 8, 3000)));
    cluster.run(500);
    assertEquals(6, cluster.work.starts().size());
  }

  @Test
  void aWaveThatIsChangedAfterItsEndIsOpenAgainForTheNewMachinesOnly() {
    machines.ask(wave(WAVE, 60, 2, first(2)));
    awaitCompletion(WAVE, 20_000);
    int calls = cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size();
    machines.ask(wave(WAVE, 60, 2, first(3)));
    cluster.run(200);
    assertEquals(Optional.of("IN_PROGRESS"), machines.toldState(WAVE));
    awaitCompletion(WAVE, 20_000);
    assertEquals(calls + 1, cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size());
  }

  @Test
  void wavesThatShareMachinesKeepBothCaps() {
    machines.ask(wave(WAVE, 60, 1, first(4)));
    machines.ask(wave(OTHER, 60, 2, machines.ids()));
    awaitCompletion(WAVE, 60_000);
    awaitCompletion(OTHER, 60_000);
    assertEquals(6, machines.begun(OTHER));
  }

  @Test
  void anEvacuatedFailureDomainGoesThroughItsWave() {
    cluster.run(FIRST_CALL_MILLIS);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(6, 8, 4000)));
    cluster.run(500);
    machines.ask(wave(WAVE, 60, 3, machines.ids()));
    cluster.evacuations.evacuate(new FailureDomain("a"));
    awaitCompletion(WAVE, 30_000);
  }

  /** Guards against a foreign token that ends the scheduling of jobs, or that is called against. */
  @Test
  void aHigherTokenStopsTheCallsOfTheEpochAndNothingElse() {
    cluster.run(FIRST_CALL_MILLIS);
    machines.callByOther(machine(0), Long.MAX_VALUE);
    machines.ask(wave(WAVE, 60, 1, first(2)));
    cluster.run(2000);
    int calls = cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size();
    cluster.run(60_000);
    assertEquals(calls, cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size());
    assertEquals(1, cluster.notes(BatchLogEvent.MAINTENANCE_STOPPED).size());
    assertTrue(cluster.notes(BatchLogEvent.OWNERSHIP_LOST).isEmpty());
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(6, 8, 3000)));
    cluster.run(500);
    assertEquals(6, cluster.work.starts().size());
  }

  /** A successor counts from the first read, and tells the state again if that was not stored. */
  @Test
  void aSuccessorKeepsTheDeadlineAndTheCompletion() {
    cluster.run(FIRST_CALL_MILLIS);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(2, 8, 300_000)));
    cluster.run(1000);
    machines.ask(wave(WAVE, 40, 6, machines.ids()));
    cluster.run(20_000);
    cluster.restart(cluster.owner().orElseThrow().id, 1000);
    awaitCompletion(WAVE, 20_000);
    int calls = cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size();
    cluster.run(3000);
    cluster.restart(cluster.owner().orElseThrow().id, 1000);
    cluster.run(15_000);
    assertEquals(calls, cluster.notes(BatchLogEvent.MAINTENANCE_CALLED).size());
    assertEquals(Optional.of("COMPLETED"), machines.toldState(WAVE));
  }

  /** The executor of a machine that is away is polled seldom and seems to answer for seconds. */
  @Test
  void nothingIsPlacedOnAnExecutorThatEndedWithItsMachine() {
    cluster.run(FIRST_CALL_MILLIS);
    ExecutorId before = machines.executor(machine(0));
    machines.ask(wave(WAVE, 60, 1, first(1)));
    awaitCompletion(WAVE, 8000);
    for (int i = 0; i < 20; i++) {
      cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(6, 8, 300)));
      cluster.run(500);
    }
    assertTrue(
        cluster.notes(BatchLogEvent.RUN_PLACED).stream()
            .noneMatch(note -> note.arguments().get(1).toString().equals(before.toString())));
  }
}
