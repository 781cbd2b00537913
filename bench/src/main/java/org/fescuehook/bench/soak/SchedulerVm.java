package org.fescuehook.bench.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.URLConnection;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.bench.cluster.ChildProcess;
import org.fescuehook.bench.cluster.ChildProcesses;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.StandIns;

/** A VM of the scheduler through its processes, which keep its addresses. */
final class SchedulerVm {

  private static final int CONNECT_MILLIS = 100;

  /** A page is made from what is known, so that only a process that stands still takes longer. */
  private static final int STATUS_MILLIS = 500;

  private final int number;
  private final ChildProcesses processes;
  private final Programs programs;
  private final InetSocketAddress callers;
  private final InetSocketAddress readiness;
  private final InetSocketAddress metrics;
  private final Path settings;
  private volatile ChildProcess process;

  /**
   * Writes the settings and starts the first process; does not wait for it.
   *
   * @param scheduling further settings of the section on scheduling
   */
  SchedulerVm(
      int number,
      ChildProcesses processes,
      Programs programs,
      FreePorts ports,
      InetSocketAddress store,
      StandIns platform,
      List<String> scheduling)
      throws ClusterException {
    this.number = number;
    this.processes = processes;
    this.programs = programs;
    this.callers = ports.take();
    this.readiness = ports.take();
    InetSocketAddress peers = ports.take();
    this.metrics = ports.take();
    this.settings =
        processes.write(
            name() + ".ini",
            """
            [identity]
            vm = %s
            failure-domain = zone-%d

            [addresses]
            callers = %s
            readiness = %s
            peers = %s
            metrics = %s
            store = %s
            machines = %s
            advice = %s

            [scheduling]
            maintenance-waves = on
            %s
            """
                .formatted(
                    name(),
                    number % 2 + 1,
                    text(callers),
                    text(readiness),
                    text(peers),
                    text(metrics),
                    text(store),
                    platform.text("machines"),
                    platform.text("advice"),
                    String.join("\n", scheduling)));
    this.process = launch();
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  int number() {
    return number;
  }

  String name() {
    return "vm-" + (number + 1);
  }

  InetSocketAddress callers() {
    return callers;
  }

  InetSocketAddress readiness() {
    return readiness;
  }

  /** Returns the process that was started last. */
  ChildProcess process() {
    return process;
  }

  /** Starts another process; does not wait for it. */
  void startAgain() throws ClusterException {
    process = launch();
  }

  private ChildProcess launch() throws ClusterException {
    List<String> command = new ArrayList<>(programs.scheduler());
    command.add("--settings");
    command.add(settings.toString());
    return processes.launch(name(), command, programs.environment());
  }

  /** Tells whether its process says that it is the owner. */
  boolean owns() {
    try {
      URLConnection status =
          URI.create("http://" + text(metrics) + "/status").toURL().openConnection();
      status.setConnectTimeout(CONNECT_MILLIS);
      status.setReadTimeout(STATUS_MILLIS);
      try (InputStream page = status.getInputStream()) {
        return new String(page.readAllBytes(), StandardCharsets.UTF_8).contains("role: owner");
      }
    } catch (IOException e) {
      return false;
    }
  }

  /** Tells whether its process listens. */
  boolean listens() {
    try (Socket socket = new Socket()) {
      socket.connect(readiness, CONNECT_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
