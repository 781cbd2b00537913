package org.fescuehook.bench.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.HttpCalls.Answer;
import org.fescuehook.bench.cluster.Waiting;

/** Two operators publish different texts on one base at two VMs, again and again. */
final class OperatorRaceProof implements Proof {
  private static final int ROUNDS = 20;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final Duration LIMIT = Duration.ofSeconds(30);

  @Override
  public String name() {
    return "operator-race";
  }

  @Override
  public String promise() {
    return "one accepted configuration is in force everywhere and never reverts";
  }

  @Override
  public String failure() {
    return "two texts on one base at two of three VMs, 20 times, under load";
  }

  @Override
  public void run(ProofCluster cluster, Evidence evidence) throws Exception {
    cluster.startLoad("race-plain", cluster.rotation(), false);
    long revision = cluster.tour().vm(0).revision().orElseThrow();
    int decided = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Optional<Long> next = race(cluster, round, revision, evidence);
      decided += next.isPresent() ? 1 : 0;
      revision = next.orElse(cluster.tour().vm(0).revision().orElseThrow());
    }
    evidence.remark("races with one winner in force at three VMs: " + decided + " of " + ROUNDS);
    evidence.expect("races decided", ROUNDS, decided);
  }

  private static Optional<Long> race(ProofCluster cluster, int round, long base, Evidence evidence)
      throws Exception {
    String text = cluster.tour().processes().declarations();
    List<Future<Answer>> answers = new ArrayList<>();
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < 2; i++) {
        EntryVm vm = cluster.tour().vm((round + i) % 3);
        String changed = text.replace("\nweight = 1\n", "\nweight = " + (2 + 2 * round + i) + "\n");
        String author = "operator-" + i;
        answers.add(threads.submit(() -> vm.publish(base, author, changed)));
      }
    }
    Answer first = answers.getFirst().get();
    Answer second = answers.getLast().get();
    Answer winner = first.status() == OK ? first : second;
    Answer loser = first.status() == OK ? second : first;
    if (winner.status() != OK || loser.status() != CONFLICT) {
      evidence.breach("round " + round + ": " + first + " and " + second);
      return Optional.empty();
    }
    long revision = winner.body().path("revision").asLong();
    if (revision <= base) {
      evidence.breach("round " + round + ": revision " + revision + " after " + base);
    }
    String author = first.status() == OK ? "operator-0" : "operator-1";
    awaitInForce(cluster, revision, author);
    return Optional.of(revision);
  }

  private static void awaitInForce(ProofCluster cluster, long revision, String author)
      throws ClusterException, InterruptedException {
    for (EntryVm vm : cluster.tour().vms()) {
      Waiting.until(
          "put " + revision + " of " + author + " in force",
          vm.name(),
          LIMIT,
          () ->
              Optional.of(vm.operator().get("/configuration").body())
                  .filter(b -> b.path("revision").asLong() == revision)
                  .filter(b -> b.path("author").asText().equals(author)));
    }
  }
}
