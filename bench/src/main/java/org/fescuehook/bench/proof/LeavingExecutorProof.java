package org.fescuehook.bench.proof;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.standins.executor.RequestRun;
import org.fescuehook.standins.list.Member;

/** The list shows an executor as leaving while callers send. */
final class LeavingExecutorProof implements Proof {
  private static final String LEAVING = "executor-1";
  private static final long REQUESTS = 150;
  private static final long LIMIT_MILLIS = 3000;
  private static final Duration WATCH = Duration.ofSeconds(10);

  @Override
  public String name() {
    return "leaving-executor";
  }

  @Override
  public String promise() {
    return "no new request to a leaving backend server after 3 s";
  }

  @Override
  public String failure() {
    return "list shows an executor as leaving under load";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    CallerLoad load = cluster.startLoad("leaving-plain", cluster.rotation(), false);
    putOnList(cluster, "live");
    load.awaitMore(REQUESTS);
    long before = runs(cluster).size();
    if (before == 0) {
      evidence.breach("the executor ran nothing before it was leaving");
    }
    putOnList(cluster, "leaving");
    long shown = lastStart(cluster.standIns().runs());
    cluster.pass(WATCH);
    load.awaitMore(REQUESTS);
    List<RequestRun> after = runs(cluster).stream().filter(r -> r.start() > shown).toList();
    long late = after.stream().filter(r -> r.start() > shown + LIMIT_MILLIS).count();
    evidence.expect("requests that began later than 3 s after the list showed it", 0L, late);
    evidence.remark(
        "runs there before: "
            + before
            + ", after the list showed it: "
            + after.size()
            + ", the last "
            + Math.max(0, lastStart(after) - shown)
            + " ms after");
  }

  private static void putOnList(ProofCluster cluster, String state)
      throws ClusterException, InterruptedException {
    InetSocketAddress address = cluster.standIns().address(LEAVING);
    String host = address.getAddress().getHostAddress();
    Member member = new Member(LEAVING, "executor", state, host, address.getPort());
    cluster.standIns().faults(Map.of("list", Map.of("put", List.of(member))));
  }

  private static List<RequestRun> runs(ProofCluster cluster)
      throws ClusterException, InterruptedException {
    return cluster.standIns().runs().stream().filter(r -> r.executor().equals(LEAVING)).toList();
  }

  private static long lastStart(List<RequestRun> runs) {
    return runs.stream().mapToLong(RequestRun::start).max().orElse(0);
  }
}
