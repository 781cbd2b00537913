package org.fescuehook.bench.tryout;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.HttpCalls.Answer;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.bench.outcome.OutcomeTable;

/** Steps of the tour that publish configurations. */
final class ConfigurationSteps {
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final long IN_FORCE_MILLIS = 12_000;
  private static final long NO_REVISION = -1;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final TourCluster cluster;
  private final OutcomeTable table;

  private record Publication(String author, Answer answer) {}

  ConfigurationSteps(TourCluster cluster, OutcomeTable table) {
    this.cluster = cluster;
    this.table = table;
  }

  void publishFirst() throws ClusterException, InterruptedException {
    String declarations = cluster.processes().declarations();
    Answer published =
        Waiting.until(
            "publish",
            cluster.vm(0).name(),
            LIMIT,
            () ->
                Optional.of(cluster.vm(0).publish(NO_REVISION, "ana", declarations))
                    .filter(a -> a.status() == OK));
    long start = System.nanoTime();
    awaitInForce(published.body().path("revision").asLong());
    long millis = (System.nanoTime() - start) / 1_000_000;
    table.addWithin("configuration in force at all VMs", IN_FORCE_MILLIS, millis);
    for (EntryVm vm : cluster.vms()) {
      vm.awaitReady(LIMIT);
    }
    table.addEqual("VMs ready", (long) cluster.vms().size(), cluster.countReady());
  }

  /** Two operators change the same revision in different ways through different VMs. */
  void raceTwoOperators() throws Exception {
    long base = cluster.vm(0).revision().orElse(NO_REVISION);
    List<Publication> publications = publishAtOnce(base);
    List<Publication> won = publications.stream().filter(p -> p.answer().status() == OK).toList();
    List<Publication> lost =
        publications.stream().filter(p -> p.answer().status() == CONFLICT).toList();
    String seen = won.size() + " published, " + lost.size() + " in conflict";
    table.addEqual("two operators at once", "1 published, 1 in conflict", seen);
    if (won.size() != 1 || lost.size() != 1) {
      return;
    }
    Publication winner = won.getFirst();
    long revision = winner.answer().body().path("revision").asLong();
    JsonNode conflict = lost.getFirst().answer().body();
    String named = conflict.path("winner").asLong() + " by " + conflict.path("author").asText();
    table.addEqual("the conflict names", revision + " by " + winner.author(), named);
    awaitInForce(revision);
    String author = cluster.vm(2).operator().get("/configuration").body().path("author").asText();
    table.addEqual("author in force at the third VM", winner.author(), author);
  }

  private List<Publication> publishAtOnce(long base) throws Exception {
    String text = cluster.processes().declarations();
    String heavier = text.replace("\nweight = 1\n", "\nweight = 2\n");
    String lighter = text.replace("\nweight = 1\n", "\nweight = 0.5\n");
    Callable<Publication> ana = () -> publish(cluster.vm(0), base, "ana", heavier);
    Callable<Publication> rui = () -> publish(cluster.vm(1), base, "rui", lighter);
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<Publication> first = threads.submit(ana);
      Future<Publication> second = threads.submit(rui);
      return List.of(first.get(), second.get());
    }
  }

  private static Publication publish(EntryVm vm, long base, String author, String text)
      throws ClusterException, InterruptedException {
    return new Publication(author, vm.publish(base, author, text));
  }

  private void awaitInForce(long revision) throws ClusterException, InterruptedException {
    for (EntryVm vm : cluster.vms()) {
      Waiting.until(
          "put in force", vm.name(), LIMIT, () -> vm.revision().filter(r -> r == revision));
    }
  }
}
