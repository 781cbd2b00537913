package org.fescuehook.bench.tryout;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.bench.outcome.LoadJudge;
import org.fescuehook.bench.outcome.OutcomeTable;

/** Steps of the tour that end entry VMs under load. */
final class FaultSteps {
  private static final int MEMBERS = 4;
  private static final Duration START_LIMIT = Duration.ofSeconds(20);
  private static final Duration TAKE_OVER_LIMIT = Duration.ofSeconds(10);
  private static final Duration STOP_LIMIT = Duration.ofSeconds(30);
  private static final long RUN_MILLIS = 20;
  private static final long REQUESTS = 150;

  private final TourCluster cluster;
  private final OutcomeTable table;
  private final LoadJudge judge;
  private final long maxPartialMillis;

  FaultSteps(TourCluster cluster, OutcomeTable table, LoadJudge judge, long maxPartialMillis) {
    this.cluster = cluster;
    this.table = table;
    this.judge = judge;
    this.maxPartialMillis = maxPartialMillis;
  }

  /** Kills the VM that decides while a gang runs and callers send. */
  void killOwner() throws ClusterException, InterruptedException {
    String job = cluster.submit(cluster.vm(0), MEMBERS, "run:8000");
    Waiting.until(
        "start gang",
        job,
        START_LIMIT,
        () -> Optional.of(cluster.started(job)).filter(n -> n == MEMBERS));
    EntryVm victim = owner();
    CallerLoad load = cluster.startLoad("kill", RUN_MILLIS);
    load.awaitMore(REQUESTS);
    victim.process().kill();
    cluster.vms().remove(victim);
    table.addWithin("another VM decides after kill -9", takeOverLimit(), takeOver(victim));
    cluster.processes().takeOffList(victim);
    load.awaitMore(REQUESTS);
    load.stop();
    judgeKill(load, victim);
    judgeGangs(job);
  }

  /** Asks a VM to stop while callers send. */
  void stopGracefully() throws ClusterException, InterruptedException {
    EntryVm leaving = cluster.vm(0);
    CallerLoad load = cluster.startLoad("stop", RUN_MILLIS);
    load.awaitMore(REQUESTS);
    long start = System.nanoTime();
    leaving.process().terminate();
    OptionalInt code = leaving.process().awaitExit(STOP_LIMIT);
    long millis = (System.nanoTime() - start) / 1_000_000;
    cluster.vms().remove(leaving);
    load.awaitMore(REQUESTS);
    load.stop();
    table.addEqual("exit code after SIGTERM", 0, code.orElse(-1));
    table.addWithin("time of the graceful stop", STOP_LIMIT.toMillis(), millis);
    judge.allWhole("graceful stop", load);
    judge.runsAreAsTold("graceful stop", load.sent(), cluster.standIns().runs());
    table.addEqual("VMs ready after it", (long) cluster.vms().size(), cluster.countReady());
  }

  private EntryVm owner() throws ClusterException, InterruptedException {
    String name = cluster.vm(0).owner();
    for (EntryVm vm : cluster.vms()) {
      if (vm.name().equals(name)) {
        return vm;
      }
    }
    throw new ClusterException("find the VM that decides", cluster.vm(0).name(), "it is " + name);
  }

  private static long takeOverLimit() {
    return TAKE_OVER_LIMIT.toMillis();
  }

  private long takeOver(EntryVm victim) throws ClusterException, InterruptedException {
    long start = System.nanoTime();
    EntryVm witness = cluster.vm(0);
    Waiting.until(
        "take over",
        witness.name(),
        TAKE_OVER_LIMIT,
        () ->
            Optional.of(witness.owner())
                .filter(owner -> !owner.isEmpty() && !owner.equals(victim.name())));
    return (System.nanoTime() - start) / 1_000_000;
  }

  private void judgeKill(CallerLoad load, EntryVm victim)
      throws ClusterException, InterruptedException {
    List<Sent> elsewhere =
        load.sent().stream().filter(s -> !s.to().equals(victim.service())).toList();
    judge.wholeOrNotRun("kill -9: at the other VMs, whole or not run", elsewhere);
    judge.runsAreAsTold("kill -9", load.sent(), cluster.standIns().runs());
  }

  private void judgeGangs(String job) throws ClusterException, InterruptedException {
    String state = cluster.awaitEnd(cluster.vm(0), job);
    table.addEqual("gang that ran through the kill", "finished", state);
    table.addEqual("its members started", (long) MEMBERS, cluster.started(job));
    String after = cluster.submit(cluster.vm(1), 2, "run:200");
    table.addEqual(
        "job submitted after the kill", "finished", cluster.awaitEnd(cluster.vm(0), after));
    var audit = cluster.standIns().audit(maxPartialMillis);
    table.addEqual("gangs overbooked, doubled or in part", List.of(), audit);
  }
}
