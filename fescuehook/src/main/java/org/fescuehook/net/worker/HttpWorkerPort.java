package org.fescuehook.net.worker;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.worker.WorkerPort;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.net.http.HttpResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands to workers over HTTP. A command without a usable answer in time is reported as
 * {@link WorkerPort.WorkerReply.Silent} and never retried by this class.
 */
public final class HttpWorkerPort implements WorkerPort {

  private static final Logger LOGGER = LoggerFactory.getLogger(HttpWorkerPort.class);

  private final EventLoopGroup loops;
  private final Duration timeout;
  private final Consumer<WorkerReply> sink;
  private final MeterRegistry meters;
  private final WorkerCodec codec = new WorkerCodec();
  private final Map<WorkerId, WorkerConnections> workers = new ConcurrentHashMap<>();

  /**
   * Creates the adapter without any worker.
   *
   * @param timeout time within which a command must be answered
   * @param sink receives the replies; called on Netty's event loops
   */
  public HttpWorkerPort(
      EventLoopGroup loops, Duration timeout, Consumer<WorkerReply> sink, MeterRegistry meters) {
    this.loops = loops;
    this.timeout = timeout;
    this.sink = sink;
    this.meters = meters;
  }

  /** Applies the workers of a configuration; closes the connections to all others. */
  public void configurationInForce(Configuration configuration) {
    Map<WorkerId, Worker> declared =
        configuration.declarations().fleet().workers().stream()
            .collect(Collectors.toMap(Worker::id, worker -> worker));
    declared.values().forEach(worker -> retain(worker.id(), worker.address()));
    for (WorkerId existing : workers.keySet()) {
      if (!declared.containsKey(existing)) {
        Optional.ofNullable(workers.remove(existing)).ifPresent(WorkerConnections::close);
      }
    }
  }

  @Override
  public void send(WorkerId worker, WorkerCommand command) {
    WorkerConnections connections = workers.get(worker);
    if (connections == null) {
      silent(worker, command, "address of worker is not declared");
      return;
    }
    connections.send(codec.encode(command), result -> answered(worker, command, result));
  }

  /** Closes all connections. */
  public void close() {
    workers.values().forEach(WorkerConnections::close);
  }

  private void retain(WorkerId worker, InetSocketAddress address) {
    WorkerConnections existing = workers.get(worker);
    if (existing != null && existing.address().equals(address)) {
      return;
    }
    workers.put(worker, new WorkerConnections(loops.next(), address, timeout));
    if (existing != null) {
      existing.close();
    }
  }

  private void answered(WorkerId worker, WorkerCommand command, HttpResult result) {
    switch (result) {
      case HttpResult.Answered answer -> decode(worker, command, answer);
      case HttpResult.Failed failed ->
          silent(worker, command, String.valueOf(failed.cause().getMessage()));
    }
  }

  private void decode(WorkerId worker, WorkerCommand command, HttpResult.Answered answer) {
    WorkerReply reply;
    try {
      reply = codec.decode(worker, command, answer);
    } catch (IOException e) {
      EventLog.warn(LOGGER, WorkerEvent.BAD_ANSWER, commandName(command), worker, e.getMessage());
      silent(worker, command, String.valueOf(e.getMessage()));
      return;
    }
    sink.accept(reply);
  }

  private void silent(WorkerId worker, WorkerCommand command, String cause) {
    String name = commandName(command);
    meters.counter("fescuehook.worker.silent", "command", name).increment();
    EventLog.info(LOGGER, WorkerEvent.SILENT, name, worker, cause);
    sink.accept(new WorkerReply.Silent(worker, command, name + ": " + cause));
  }

  private static String commandName(WorkerCommand command) {
    return switch (command) {
      case WorkerCommand.Grant grant -> "grant";
      case WorkerCommand.Start start -> "start";
      case WorkerCommand.Renew renew -> "renew";
      case WorkerCommand.Checkpoint checkpoint -> "checkpoint";
      case WorkerCommand.Throttle throttle -> "throttle";
      case WorkerCommand.Release release -> "release";
    };
  }
}
