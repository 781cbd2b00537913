package org.fescuehook.bench.proof;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.cluster.EntryVm;

/** The log refuses all calls for a minute while callers send and a gang runs. */
final class LogOutageProof implements Proof {
  private static final Duration BEGIN = Duration.ofSeconds(2);
  private static final Duration REST = Duration.ofSeconds(58);
  private static final long REQUESTS = 100;
  private static final int FEW = 20;

  @Override
  public String name() {
    return "log-outage";
  }

  @Override
  public String promise() {
    return "requests and gangs go on, claimed requests are refused as not run, nothing is doubled";
  }

  @Override
  public String failure() {
    return "log refuses all calls for 60 s under load";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    EntryVm vm = cluster.tour().vm(0);
    Rotation rotation = cluster.rotation();
    String gang = cluster.runGang(vm, 80_000);
    CallerLoad plain = cluster.startLoad("outage-plain", rotation, false);
    CallerLoad repeatable = cluster.startLoad("outage-repeatable", rotation, true);
    IdCallers ids = cluster.startIdCallers("outage-id", rotation);
    plain.awaitMore(REQUESTS);
    ids.awaitMore(FEW);
    cluster.standIns().faults(Map.of("log", Map.of("refusing", true)));
    cluster.pass(BEGIN);
    IdCallers claimed = cluster.startIdCallers("outage-claimed", rotation);
    cluster.pass(REST);
    List<TriedRequest> refused = claimed.stop();
    evidence.expect("members of the gang that run at the end", 4L, cluster.running(gang));
    cluster.standIns().faults(Map.of("log", Map.of()));
    expectAllRefused(refused, evidence);
    String after = cluster.submitAfterOutage(vm, evidence);
    plain.awaitMore(REQUESTS);
    repeatable.awaitMore(REQUESTS);
    cluster.expectFinished("a job after the outage", cluster.tour().vm(1), after, evidence);
    ids.awaitMore(FEW);
    cluster.expectFinished("the gang", vm, gang, evidence);
    cluster.expectCleanAudit(evidence);
  }

  private static void expectAllRefused(List<TriedRequest> claimed, Evidence evidence) {
    long refused = claimed.stream().filter(TriedRequest::refused).count();
    evidence.expect("claimed during the outage, refused", (long) claimed.size(), refused);
    evidence.remark("claimed during the outage: " + claimed.size() + ", refused " + refused);
  }
}
