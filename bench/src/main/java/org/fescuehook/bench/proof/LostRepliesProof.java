package org.fescuehook.bench.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.HttpCalls.Answer;
import org.fescuehook.bench.tryout.TourCluster;

/**
 * Appends take effect and their replies are lost, while requests are claimed and jobs submitted.
 */
final class LostRepliesProof implements Proof {
  private static final int LOST_REPLIES = 40;
  private static final int JOBS = 4;
  private static final int REQUESTS = 100;
  private static final int ACCEPTED = 202;

  @Override
  public String name() {
    return "lost-replies";
  }

  @Override
  public String promise() {
    return "a request runs at most once, an accepted job runs once";
  }

  @Override
  public String failure() {
    return "replies of 40 appends are lost under load";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    IdCallers ids = cluster.startIdCallers("replies-id", cluster.rotation());
    ids.awaitMore(REQUESTS);
    cluster.standIns().faults(Map.of("log", Map.of("loseReplies", LOST_REPLIES)));
    List<String> jobs = submitJobs(cluster, evidence);
    ids.awaitMore(REQUESTS);
    cluster.standIns().faults(Map.of("log", Map.of()));
    ids.awaitMore(REQUESTS);
    for (String job : jobs) {
      cluster.expectFinished("job " + job, cluster.tour().vm(2), job, evidence);
      evidence.expect("members of " + job + " started", 2L, cluster.tour().started(job));
    }
    cluster.expectCleanAudit(evidence);
  }

  private static List<String> submitJobs(ProofCluster cluster, Evidence evidence)
      throws ClusterException, InterruptedException {
    List<String> accepted = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      EntryVm vm = cluster.tour().vm(i % 2);
      Answer answer = vm.jobs().post("/jobs", TourCluster.job(2, "run:300"));
      if (answer.status() == ACCEPTED) {
        accepted.add(answer.body().path("job").asText());
      }
    }
    evidence.remark("jobs accepted during the loss: " + accepted.size() + " of " + JOBS);
    return accepted;
  }
}
