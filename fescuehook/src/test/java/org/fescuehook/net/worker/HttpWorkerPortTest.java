package org.fescuehook.net.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.net.http.ScriptedServer;
import org.fescuehook.net.http.ScriptedServer.Act;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpWorkerPortTest {

  private static final WorkerId WORKER = new WorkerId("worker-1");
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final BlockingQueue<WorkerReply> replies = new LinkedBlockingQueue<>();
  private ScriptedServer server;

  @BeforeEach
  void open() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    loops.shutdownGracefully();
  }

  @Test
  void aGrantCarriesTheLeaseThatTheWorkerChose() throws InterruptedException {
    server.then(new Act.Answer(201, "{\"lease\":\"x7\"}"));

    port(LONG_TIMEOUT).send(WORKER, new WorkerCommand.Grant("j.1/0", 2, 4, 1024, 30_000));

    assertEquals(new WorkerReply.Granted(WORKER, "j.1/0", "x7"), next());
    assertEquals(
        "POST /leases {\"key\":\"j.1/0\",\"accelerators\":2,\"cores\":4,"
            + "\"memoryMegabytes\":1024,\"ttlMs\":30000}",
        server.requests().peek());
  }

  @Test
  void aWorkerWithoutTheResourcesRefusesTheGrant() throws InterruptedException {
    server.then(new Act.Answer(409, "{\"error\":\"insufficient\"}"));

    port(LONG_TIMEOUT).send(WORKER, new WorkerCommand.Grant("j.1/0", 2, 4, 1024, 30_000));

    assertEquals(new WorkerReply.GrantRefused(WORKER, "j.1/0", "insufficient"), next());
  }

  @Test
  void aStartWithAnExpiredLeaseReportsItAsGone() throws InterruptedException {
    server.then(new Act.Answer(404, "{\"error\":\"gone\"}"));

    port(LONG_TIMEOUT).send(WORKER, new WorkerCommand.Start("x7", "j", "j.1", 0, "run"));

    assertEquals(states(new State("x7", LeaseState.GONE, 0)), next());
  }

  @Test
  void aCommandThatTheWorkerCannotRunIsReportedAsAFailedTask() throws InterruptedException {
    server.then(new Act.Answer(400, "{\"error\":\"bad-request\"}"));

    port(LONG_TIMEOUT).send(WORKER, new WorkerCommand.Start("x7", "j", "j.1", 0, "odd"));

    assertEquals(states(new State("x7", LeaseState.FAILED, 126)), next());
  }

  @Test
  void aRenewalReturnsTheStateOfEachLease() throws InterruptedException {
    server.then(
        new Act.Answer(
            200,
            "{\"states\":[{\"lease\":\"a\",\"state\":\"failed\",\"exitCode\":3}],\"gone\":[\"b\"]}"));

    port(LONG_TIMEOUT).send(WORKER, new WorkerCommand.Renew(List.of("a", "b"), 30_000));

    assertEquals(
        states(new State("a", LeaseState.FAILED, 3), new State("b", LeaseState.GONE, 0)), next());
  }

  @Test
  void aWorkerThatDoesNotAnswerIsSilent() throws InterruptedException {
    server.then(new Act.Silence());
    WorkerCommand command = new WorkerCommand.Release("x7");

    port(SHORT_TIMEOUT).send(WORKER, command);

    WorkerReply.Silent silent = assertInstanceOf(WorkerReply.Silent.class, next());
    assertEquals(command, silent.command());
    assertEquals(1, meters.counter("fescuehook.worker.silent", "command", "release").count());
  }

  @Test
  void anInvalidAnswerIsReportedAsSilence() throws InterruptedException {
    server.then(new Act.Answer(200, "{\"states\":[{\"lease\":\"a\",\"state\":\"odd\"}]}"));

    port(LONG_TIMEOUT).send(WORKER, new WorkerCommand.Renew(List.of("a"), 30_000));

    assertInstanceOf(WorkerReply.Silent.class, next());
  }

  @Test
  void aWorkerThatIsNotDeclaredIsSilent() throws InterruptedException {
    port(LONG_TIMEOUT).send(new WorkerId("other"), new WorkerCommand.Release("x7"));

    assertInstanceOf(WorkerReply.Silent.class, next());
    assertTrue(server.requests().isEmpty());
  }

  @Test
  void commandsBeyondThePoolWaitForAConnection() throws InterruptedException {
    HttpWorkerPort port = port(LONG_TIMEOUT);
    for (int i = 0; i < 20; i++) {
      server.then(new Act.Answer(200, "{}"));
    }

    for (int i = 0; i < 20; i++) {
      port.send(WORKER, new WorkerCommand.Release("x" + i));
    }

    for (int i = 0; i < 20; i++) {
      assertInstanceOf(WorkerReply.States.class, next());
    }
    assertTrue(server.accepted() <= 4, "connections: " + server.accepted());
  }

  private HttpWorkerPort port(Duration timeout) {
    HttpWorkerPort port = new HttpWorkerPort(loops, timeout, replies::add, meters);
    port.configurationInForce(configuration(server.address()));
    return port;
  }

  private WorkerReply next() throws InterruptedException {
    WorkerReply reply = replies.poll(20, TimeUnit.SECONDS);
    if (reply == null) {
      throw new AssertionError("no reply");
    }
    return reply;
  }

  private static WorkerReply states(State... states) {
    return new WorkerReply.States(WORKER, List.of(states));
  }

  private static Configuration configuration(InetSocketAddress address) {
    Worker worker =
        new Worker(
            WORKER, address, new FailureDomain("d"), new RackId("r"), new Capacity(8, 64, 1024));
    Declarations declarations =
        new Declarations(
            List.of(),
            List.of(),
            List.of(),
            new Fleet(List.of(worker), List.of()),
            PolicyPreferences.DEFAULT);
    return new Configuration(0, -1, "author", "reason", "", declarations);
  }
}
