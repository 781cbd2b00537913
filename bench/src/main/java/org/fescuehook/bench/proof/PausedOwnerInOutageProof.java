package org.fescuehook.bench.proof;

import java.time.Duration;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.cluster.EntryVm;

/** The owner is paused and the log refuses calls at the same time; the log comes back first. */
final class PausedOwnerInOutageProof implements Proof {
  private static final Duration OUTAGE = Duration.ofSeconds(8);
  private static final Duration AFTER_TAKE_OVER = Duration.ofSeconds(4);
  private static final long REQUESTS = 100;
  private static final int ID_REQUESTS = 50;

  @Override
  public String name() {
    return "paused-owner-in-outage";
  }

  @Override
  public String promise() {
    return "no gang in part or doubled, no request doubled";
  }

  @Override
  public String failure() {
    return "owner stopped by SIGSTOP while the log refuses all calls for 8 s";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    EntryVm owner = cluster.owner();
    EntryVm witness = cluster.others(owner).getFirst();
    EntryVm third = cluster.others(owner).getLast();
    String gang = cluster.runGang(witness, 30_000);
    Rotation rotation = cluster.rotation();
    CallerLoad plain = cluster.startLoad("pair-plain", rotation, false);
    IdCallers ids = cluster.startIdCallers("pair-id", rotation);
    plain.awaitMore(REQUESTS);
    cluster.standIns().faults(Map.of("log", Map.of("refusing", true)));
    owner.process().pause();
    rotation.remove(owner);
    cluster.pass(OUTAGE);
    cluster.standIns().faults(Map.of("log", Map.of()));
    String after = cluster.submitAfterOutage(witness, evidence);
    evidence.expect("status of the new job at the third VM", 200, status(third, after));
    cluster.awaitOtherOwner(witness, owner);
    cluster.pass(AFTER_TAKE_OVER);
    owner.process().resume();
    cluster.expectFinished("the job after the outage", third, after, evidence);
    cluster.expectFinished("the gang", witness, gang, evidence);
    plain.awaitMore(REQUESTS);
    ids.awaitMore(ID_REQUESTS);
    cluster.expectCleanAudit(evidence);
  }

  private static int status(EntryVm vm, String job) throws Exception {
    return vm.jobs().get("/jobs/" + job).status();
  }
}
