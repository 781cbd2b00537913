package org.fescuehook.bench.cluster;

import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry VM in its process. */
public final class EntryVm {
  /** The log event of a VM that listens on all its ports. */
  private static final Pattern STARTED =
      Pattern.compile("event=7001 .*service \\S*/([^,]+), peer \\S*/([^,]+), operator \\S*/(\\S+)");

  private final ChildProcess process;
  private final InetSocketAddress service;
  private final InetSocketAddress peer;
  private final InetSocketAddress operatorAddress;
  private final HttpCalls operator;
  private final HttpCalls jobs;

  private EntryVm(ChildProcess process, Matcher started, HttpClient client) {
    this.process = process;
    this.service = StandIns.parse(started.group(1));
    this.peer = StandIns.parse(started.group(2));
    this.operatorAddress = StandIns.parse(started.group(3));
    this.operator = new HttpCalls(client, operatorAddress);
    this.jobs = new HttpCalls(client, service);
  }

  /** Waits until a process listens on all ports of an entry VM. */
  static EntryVm await(ChildProcess process, HttpClient client, Duration limit)
      throws ClusterException, InterruptedException {
    return Waiting.until(
        "start",
        process.name(),
        limit,
        () -> {
          Matcher started = STARTED.matcher(process.output());
          return started.find()
              ? Optional.of(new EntryVm(process, started, client))
              : Optional.empty();
        });
  }

  /** Returns its process. */
  public ChildProcess process() {
    return process;
  }

  /** Returns its name. */
  public String name() {
    return process.name();
  }

  /** Returns its service port. */
  public InetSocketAddress service() {
    return service;
  }

  /** Returns its peer port. */
  public InetSocketAddress peer() {
    return peer;
  }

  /** Returns its operators' port. */
  public InetSocketAddress operatorAddress() {
    return operatorAddress;
  }

  /** Returns calls to its operators' port. */
  public HttpCalls operator() {
    return operator;
  }

  /** Returns calls to its service port, for jobs. */
  public HttpCalls jobs() {
    return jobs;
  }

  /** Tells whether it says that it is ready; no answer is not ready. */
  public boolean ready() throws InterruptedException {
    try {
      return operator.get("/readyz").status() == 200;
    } catch (ClusterException e) {
      return false;
    }
  }

  /** Waits until it is ready. */
  public void awaitReady(Duration limit) throws ClusterException, InterruptedException {
    Waiting.until(
        "become ready", name(), limit, () -> ready() ? Optional.of(true) : Optional.empty());
  }

  /** Returns the revision in force, or empty if there is none. */
  public Optional<Long> revision() throws ClusterException, InterruptedException {
    HttpCalls.Answer answer = operator.get("/configuration");
    return answer.status() == 200
        ? Optional.of(answer.body().path("revision").asLong())
        : Optional.empty();
  }

  /** Returns the name of the VM that decides, as this one sees it; empty if it sees none. */
  public String owner() throws ClusterException, InterruptedException {
    return operator.get("/status").body().path("control").path("owner").asText("");
  }

  /** Publishes declarations that are based on a revision, -1 for none. */
  public HttpCalls.Answer publish(long base, String author, String declarations)
      throws ClusterException, InterruptedException {
    return operator.post(
        "/configuration",
        Map.of("base", base, "author", author, "reason", "bench", "declarations", declarations));
  }
}
