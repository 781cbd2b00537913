package org.fescuehook.bench.proof;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.standins.worker.WorkerEvent;

/** The owner is paused past its time-out while gangs run and start, and wakes up again. */
final class PausedOwnerProof implements Proof {
  private static final long GRANT_MILLIS = 400;
  private static final Duration AFTER_TAKE_OVER = Duration.ofSeconds(8);
  private static final Duration GRANT_LIMIT = Duration.ofSeconds(30);
  private static final long REQUESTS = 100;
  private static final int ID_REQUESTS = 50;

  @Override
  public String name() {
    return "paused-owner";
  }

  @Override
  public String promise() {
    return "no gang in part or doubled, no request doubled";
  }

  @Override
  public String failure() {
    return "owner stopped by SIGSTOP past its time-out, then SIGCONT";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    EntryVm owner = cluster.owner();
    EntryVm witness = cluster.others(owner).getFirst();
    String running = cluster.runGang(witness, 20_000);
    Rotation rotation = cluster.rotation();
    CallerLoad plain = cluster.startLoad("pause-plain", rotation, false);
    IdCallers ids = cluster.startIdCallers("pause-id", rotation);
    plain.awaitMore(REQUESTS);
    String starting = submitSlowly(cluster, witness);
    owner.process().pause();
    rotation.remove(owner);
    evidence.remark(
        "members of the second gang started at the pause: " + cluster.tour().started(starting));
    cluster.standIns().faults(Map.of("workers", Map.of()));
    cluster.awaitOtherOwner(witness, owner);
    evidence.remark(
        "members of the second gang started at take-over: " + cluster.tour().started(starting));
    cluster.pass(AFTER_TAKE_OVER);
    owner.process().resume();
    plain.awaitMore(REQUESTS);
    ids.awaitMore(ID_REQUESTS);
    cluster.expectFinished("the gang that ran", witness, running, evidence);
    cluster.expectFinished("the gang that started", witness, starting, evidence);
    cluster.expectCleanAudit(evidence);
  }

  /** Submits a gang to workers that are slow to answer, and returns when one has granted. */
  private static String submitSlowly(ProofCluster cluster, EntryVm vm)
      throws ClusterException, InterruptedException {
    cluster.standIns().faults(Map.of("workers", Map.of("delayMs", GRANT_MILLIS)));
    long before = granted(cluster);
    String job = cluster.tour().submit(vm, ProofCluster.MEMBERS, "run:3000");
    Waiting.until(
        "grant", job, GRANT_LIMIT, () -> Optional.of(granted(cluster)).filter(n -> n > before));
    return job;
  }

  private static long granted(ProofCluster cluster) throws ClusterException, InterruptedException {
    return cluster.standIns().leaseEvents().stream()
        .filter(e -> e.kind() == WorkerEvent.Kind.GRANTED)
        .count();
  }
}
