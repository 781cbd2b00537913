package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.net.http.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Pattern: a VM loses ownership while a connection to an executor is being opened. The order that
 * the connection was opened for is sent over it all the same.
 */
class ForgottenConnectTest {

  private static final long PATIENCE_SECONDS = 3;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<OrderOutcome> outcomes = new LinkedBlockingQueue<>();
  private final ScriptedServer server;

  ForgottenConnectTest() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private BatchCommand.Order stopOfRun() {
    ExecutorProfile executor =
        new ExecutorProfile(
            new ExecutorId("e"),
            server.address(),
            "pool",
            new FailureDomain("a"),
            new RackId("r"),
            Set.of(),
            new Demand(1000, 1000, 1),
            false,
            0);
    TaskRun run = new TaskRun(new TaskName("a1", 0, 0, 0), 1);
    return new BatchCommand.Order(executor, 1, 7, new BatchCommand.ExecutorOrder.Stop(run));
  }

  @Test
  void anOrderWhoseConnectionIsBeingOpenedIsNotSentOnceItsExecutorIsForgotten() throws Exception {
    server.then(new ScriptedServer.Act.Answer(409, "{\"reason\":\"fence\"}"));
    ExecutorClient client =
        new ExecutorClient(loops.next(), (id, number, outcome) -> outcomes.add(outcome));
    client.send(stopOfRun());
    client.forgetAll();
    OrderOutcome outcome = outcomes.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    boolean reached = new OrderOutcome.Rejected(Rejection.FENCED).equals(outcome);
    assertEquals(false, reached, () -> "the executor was reached: " + outcome);
  }
}
