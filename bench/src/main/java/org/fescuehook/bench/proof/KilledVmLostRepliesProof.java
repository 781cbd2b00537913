package org.fescuehook.bench.proof;

import java.util.Map;
import org.fescuehook.bench.cluster.EntryVm;

/** The owner is killed while replies of appends are lost. */
final class KilledVmLostRepliesProof implements Proof {
  private static final int REQUESTS = 150;
  private static final int LOST_REPLIES = 30;

  @Override
  public String name() {
    return "killed-vm-lost-replies";
  }

  @Override
  public String promise() {
    return "a request that is not repeatable runs at most once, no gang in part or doubled";
  }

  @Override
  public String failure() {
    return "kill -9 of the owner while replies of 30 appends are lost";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    EntryVm victim = cluster.owner();
    EntryVm witness = cluster.others(victim).getFirst();
    String gang = cluster.runGang(witness, 15_000);
    IdCallers ids = cluster.startIdCallers("pair-kill", cluster.rotation());
    ids.awaitMore(REQUESTS);
    cluster.standIns().faults(Map.of("log", Map.of("loseReplies", LOST_REPLIES)));
    victim.process().kill();
    cluster.tour().processes().takeOffList(victim);
    ids.awaitMore(REQUESTS);
    cluster.awaitOtherOwner(witness, victim);
    cluster.expectFinished("the gang", witness, gang, evidence);
    cluster.expectCleanAudit(evidence);
  }
}
