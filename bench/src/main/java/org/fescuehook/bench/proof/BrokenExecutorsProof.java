package org.fescuehook.bench.proof;

import java.util.List;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad;

/** One of three executors treats requests in each wrong way in turn. */
final class BrokenExecutorsProof implements Proof {
  private static final long DELAY_MILLIS = 1000;
  private static final long REQUESTS = 60;
  private static final int ID_REQUESTS = 30;
  private static final List<String> BEHAVIOURS =
      List.of("CUT", "CROSSED", "REFUSING", "LATE", "SILENT");

  @Override
  public String name() {
    return "broken-executors";
  }

  @Override
  public String promise() {
    return "a caller gets the whole answer to its own request; not run is true";
  }

  @Override
  public String failure() {
    return "an executor cuts, crosses, refuses, delays, withholds answers";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    Rotation rotation = cluster.rotation();
    CallerLoad plain = cluster.startLoad("broken-plain", rotation, false);
    CallerLoad repeatable = cluster.startLoad("broken-repeatable", rotation, true);
    IdCallers ids = cluster.startIdCallers("broken-id", rotation);
    for (String behaviour : BEHAVIOURS) {
      Map<String, Object> fault =
          Map.of("names", List.of("executor-1"), "behaviour", behaviour, "delayMs", DELAY_MILLIS);
      cluster.standIns().faults(Map.of("executors", fault));
      plain.awaitMore(REQUESTS);
      repeatable.awaitMore(REQUESTS);
      ids.awaitMore(ID_REQUESTS);
    }
    cluster.standIns().faults(Map.of("executors", Map.of("behaviour", "NORMAL")));
    plain.awaitMore(REQUESTS);
  }
}
