package org.fescuehook.bench.tryout;

import java.util.List;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.outcome.LoadJudge;
import org.fescuehook.bench.outcome.OutcomeTable;

/** The steps of the tour, in order. */
final class Tour {
  private static final int VMS = 3;
  private static final int MEMBERS = 4;
  private static final long REQUESTS = 600;
  private static final long MAX_PARTIAL_MILLIS = 8000;

  private final TourCluster cluster;
  private final OutcomeTable table;
  private final LoadJudge judge;

  Tour(TourCluster cluster, OutcomeTable table) {
    this.cluster = cluster;
    this.table = table;
    this.judge = new LoadJudge(table);
  }

  void run() throws InterruptedException {
    table.attempt("three entry VMs start", this::startVms);
    if (cluster.vms().size() < VMS) {
      return;
    }
    ConfigurationSteps configuration = new ConfigurationSteps(cluster, table);
    FaultSteps faults = new FaultSteps(cluster, table, judge, MAX_PARTIAL_MILLIS);
    table.attempt("configuration", configuration::publishFirst);
    table.attempt("two operators at once", configuration::raceTwoOperators);
    table.attempt("requests", this::sendRequests);
    table.attempt("request id twice", this::repeatRequestId);
    table.attempt("gang job", this::runGang);
    table.attempt("impossible job", this::refuseImpossible);
    table.attempt("kill of the deciding VM", faults::killOwner);
    table.attempt("graceful stop under load", faults::stopGracefully);
  }

  private void startVms() throws ClusterException, InterruptedException {
    cluster.startVms(VMS);
    table.addEqual("entry VMs that listen", VMS, cluster.vms().size());
  }

  private void sendRequests() throws InterruptedException, ClusterException {
    cluster.awaitService();
    CallerLoad load = cluster.startLoad("plain", 2);
    load.awaitMore(REQUESTS);
    load.stop();
    judge.allWhole("requests", load);
    judge.runsAreAsTold("requests", load.sent(), cluster.standIns().runs());
  }

  private void repeatRequestId() throws ClusterException, InterruptedException {
    Map<String, String> headers = Map.of("Request-Id", "charge-1");
    var first = cluster.send(cluster.vm(0), "/charge?ms=50", headers);
    var second = cluster.send(cluster.vm(1), "/charge?ms=50", headers);
    String statuses = first.status() + ", " + second.status();
    long runs = cluster.standIns().runs().stream().filter(r -> r.path().equals("/charge")).count();
    table.addEqual("one request id sent to two VMs", "200, 200", statuses);
    table.addEqual("its second answer", first.text(), second.text());
    table.addEqual("its runs", 1L, runs);
  }

  private void runGang() throws ClusterException, InterruptedException {
    String job = cluster.submit(cluster.vm(0), MEMBERS, "run:1000");
    String state = cluster.awaitEnd(cluster.vm(1), job);
    table.addEqual("gang job, asked at another VM", "finished", state);
    table.addEqual("its members started", (long) MEMBERS, cluster.started(job));
    var audit = cluster.standIns().audit(MAX_PARTIAL_MILLIS);
    table.addEqual("gangs overbooked, doubled or in part", List.of(), audit);
  }

  private void refuseImpossible() throws ClusterException, InterruptedException {
    var answer = cluster.vm(0).jobs().post("/jobs", TourCluster.job(64, "run:1"));
    String ran = answer.body().path("ran").asText();
    String seen = answer.body().path("reason").asText() + ", ran: " + ran;
    table.addEqual("job that can never run", "never-runnable, ran: no", seen);
  }
}
