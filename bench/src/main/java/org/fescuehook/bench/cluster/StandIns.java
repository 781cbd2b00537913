package org.fescuehook.bench.cluster;

import java.io.IOException;
import java.io.Reader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import org.fescuehook.standins.executor.RequestRun;
import org.fescuehook.standins.platform.MachineCall;
import org.fescuehook.standins.platform.RunEvent;
import org.fescuehook.standins.worker.GangAudit;
import org.fescuehook.standins.worker.WorkerEvent;

/** The stand-ins in their process, seen through their control port. */
public final class StandIns {
  private final ChildProcess process;
  private final Properties ports;
  private final HttpCalls control;

  private StandIns(ChildProcess process, Properties ports, HttpClient client) {
    this.process = process;
    this.ports = ports;
    this.control = new HttpCalls(client, parse(ports.getProperty("control")));
  }

  /** Waits until stand-ins have written their addresses to a file. */
  public static StandIns await(
      ChildProcess process, Path portsFile, HttpClient client, Duration limit)
      throws ClusterException, InterruptedException {
    Properties addresses =
        Waiting.until("start", process.name(), limit, () -> readProperties(portsFile));
    return new StandIns(process, addresses, client);
  }

  private static Optional<Properties> readProperties(Path file) throws ClusterException {
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    Properties properties = new Properties();
    try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      properties.load(reader);
    } catch (IOException e) {
      throw new ClusterException("read", file.toString(), e);
    }
    return Optional.of(properties);
  }

  /** Returns their process. */
  public ChildProcess process() {
    return process;
  }

  /** Returns where a stand-in listens, as {@code IP:port}. */
  public String text(String name) {
    return ports.getProperty(name);
  }

  /** Returns where a stand-in listens. */
  public InetSocketAddress address(String name) {
    return parse(text(name));
  }

  /** Replaces faults; the argument is the JSON object of the control port as a map. */
  public void faults(Map<String, ?> faults) throws ClusterException, InterruptedException {
    HttpCalls.Answer answer = control.post("/faults", faults);
    if (answer.status() != 200) {
      throw new ClusterException("set faults", "stand-ins", answer.body().toString());
    }
  }

  /** Returns the requests that executors ran. */
  public List<RequestRun> runs() throws ClusterException, InterruptedException {
    var journal = control.get("/journal").body().path("executors");
    return HttpCalls.convert(journal, HttpCalls.listOf(RequestRun.class));
  }

  /** Returns what happened to leases. */
  public List<WorkerEvent> leaseEvents() throws ClusterException, InterruptedException {
    var journal = control.get("/journal").body().path("workers");
    return HttpCalls.convert(journal, HttpCalls.listOf(WorkerEvent.class));
  }

  /** Returns what happened to runs of tasks on the platform's executors. */
  public List<RunEvent> taskRuns() throws ClusterException, InterruptedException {
    var journal = control.get("/journal").body().path("fleet");
    return HttpCalls.convert(journal, HttpCalls.listOf(RunEvent.class));
  }

  /** Returns the calls of the platform's machine API. */
  public List<MachineCall> machineCalls() throws ClusterException, InterruptedException {
    var journal = control.get("/journal").body().path("machines");
    return HttpCalls.convert(journal, HttpCalls.listOf(MachineCall.class));
  }

  /** Returns what went wrong on workers. */
  public List<GangAudit.Finding> audit(long maxPartialMillis)
      throws ClusterException, InterruptedException {
    var findings = control.get("/audit?part-ms=" + maxPartialMillis).body();
    return HttpCalls.convert(findings, HttpCalls.listOf(GangAudit.Finding.class));
  }

  /** Reads {@code IP:port}. */
  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    return new InetSocketAddress(InetAddress.ofLiteral(text.substring(0, colon)), port);
  }
}
