package org.fescuehook.bench.proof;

import org.fescuehook.bench.cluster.EntryVm;

/** An entry VM is killed while each of its callers tries again at another one. */
final class KilledVmProof implements Proof {
  private static final int REQUESTS = 200;

  @Override
  public String name() {
    return "killed-vm";
  }

  @Override
  public String promise() {
    return "a request that is not repeatable runs at most once";
  }

  @Override
  public String failure() {
    return "kill -9 of an entry VM, each request id tried again at another";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    EntryVm victim = cluster.owner();
    Rotation rotation = cluster.rotation();
    IdCallers ids = cluster.startIdCallers("kill-id", rotation);
    ids.awaitMore(REQUESTS);
    victim.process().kill();
    cluster.tour().processes().takeOffList(victim);
    ids.awaitMore(REQUESTS);
  }
}
