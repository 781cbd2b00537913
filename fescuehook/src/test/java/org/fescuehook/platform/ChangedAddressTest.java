package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.net.http.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an executor that is never reached again after it has started again under its id at
 * another address. Its connections were kept by its id alone, so that all orders went to the former
 * address.
 */
class ChangedAddressTest {

  /** Number of connections for orders to one executor. */
  private static final int ORDER_CONNECTIONS = 3;

  private static final long TIMEOUT_SECONDS = 10;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Ended> outcomes = new LinkedBlockingQueue<>();
  private final ExecutorClient client =
      new ExecutorClient(
          loops.next(), (id, number, outcome) -> outcomes.add(new Ended(number, outcome)));
  private final ScriptedServer former;
  private final ScriptedServer current;

  private record Ended(long number, OrderOutcome outcome) {}

  ChangedAddressTest() throws IOException {
    former = new ScriptedServer();
    current = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    former.close();
    current.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void sendStop(int number, InetSocketAddress address) {
    ExecutorProfile executor =
        new ExecutorProfile(
            Incarnation.ofUnknownStart(new ExecutorId("e")),
            address,
            "pool",
            new FailureDomain("a"),
            new RackId("r"),
            Set.of(),
            new ResourceVector(1000, 1000, 1),
            false,
            0);
    TaskRun run = new TaskRun(new TaskName("a1", 0, 0, number), 1);
    client.send(
        new BatchCommand.Order(
            executor,
            number,
            7,
            new BatchCommand.ExecutorOrder.Stop(run),
            Duration.ofSeconds(TIMEOUT_SECONDS)));
  }

  private Ended next() throws InterruptedException {
    return outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void anOrderGoesToTheAddressThatItNames() throws Exception {
    former.then(new ScriptedServer.Act.Answer(200, "{\"clockMs\":5}"));
    current.then(new ScriptedServer.Act.Answer(200, "{\"clockMs\":6}"));
    sendStop(1, former.address());
    assertEquals(new Ended(1, new OrderOutcome.Done(5)), next());
    sendStop(2, current.address());
    assertEquals(new Ended(2, new OrderOutcome.Done(6)), next());
  }

  /** Orders to the former address end, so that nothing waits for them in vain. */
  @Test
  void eachOrderToTheFormerAddressHasAnOutcome() throws Exception {
    for (int i = 0; i < ORDER_CONNECTIONS; i++) {
      former.then(new ScriptedServer.Act.Silence());
    }
    current.then(new ScriptedServer.Act.Answer(200, "{\"clockMs\":6}"));
    for (int number = 0; number <= ORDER_CONNECTIONS; number++) {
      sendStop(number, former.address());
    }
    int last = ORDER_CONNECTIONS + 1;
    sendStop(last, current.address());
    List<Ended> unanswered = new ArrayList<>();
    for (int i = 0; i <= last; i++) {
      Ended ended = next();
      if (ended.number() == last) {
        assertEquals(new OrderOutcome.Done(6), ended.outcome());
      } else {
        unanswered.add(ended);
      }
    }
    unanswered.sort(Comparator.comparingLong(Ended::number));
    assertEquals(List.of(0L, 1L, 2L, 3L), unanswered.stream().map(Ended::number).toList());
    assertInstanceOf(OrderOutcome.NotSent.class, unanswered.getLast().outcome());
  }
}
