package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpClientConnection;

/**
 * The one client of the executors: to each of them a connection for polls, which may wait, and a
 * few for orders. All state belongs to one event loop.
 */
public final class ExecutorClient {

  /** Longest time to connect; the way between failure domains takes about 1 ms. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Longest time to the answer of an order, of which three fit into a gang's patience. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(600);

  /**
   * Added to the wait that a poll asks for: some hundred times the way there and back, and a pause
   * of this VM. Until then ends on an executor whose answer was lost are not seen.
   */
  private static final Duration POLL_TIMEOUT_MARGIN = Duration.ofMillis(350);

  /** Connections for orders to one executor, so that one silent order does not hold the rest up. */
  private static final int ORDER_CONNECTIONS = 3;

  private final EventLoop loop;
  private final Listener listener;
  private final Map<ExecutorId, Connections> executors = new HashMap<>();

  /** Hears what became of an order, on the event loop. */
  @FunctionalInterface
  public interface Listener {

    /** An order ended. */
    void ended(ExecutorId executor, long number, OrderOutcome outcome);
  }

  /** Creates a client without connections. */
  public ExecutorClient(EventLoop loop, Listener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /** Sends an order. */
  public void send(BatchCommand.Order order) {
    loop.execute(
        () ->
            executors
                .computeIfAbsent(order.executor().id(), id -> new Connections(order.executor()))
                .send(order));
  }

  /** Closes the connections to an executor that is gone. */
  public void forget(ExecutorId id) {
    loop.execute(() -> Optional.ofNullable(executors.remove(id)).ifPresent(Connections::close));
  }

  /** Closes all connections. */
  public void forgetAll() {
    loop.execute(
        () -> {
          executors.values().forEach(Connections::close);
          executors.clear();
        });
  }

  /** The connections to one executor. */
  private final class Connections {
    private final ExecutorProfile executor;
    private final HttpClientConnection polls;
    private final Deque<HttpClientConnection> idle = new ArrayDeque<>();
    private final Deque<BatchCommand.Order> waiting = new ArrayDeque<>();
    private final List<HttpClientConnection> all = new ArrayList<>();

    Connections(ExecutorProfile executor) {
      this.executor = executor;
      this.polls = connection();
    }

    private HttpClientConnection connection() {
      HttpClientConnection opened =
          new HttpClientConnection(loop, executor.address(), CONNECT_TIMEOUT);
      all.add(opened);
      return opened;
    }

    void send(BatchCommand.Order order) {
      if (order.order() instanceof ExecutorOrder.Poll poll) {
        Duration timeout = Duration.ofMillis(poll.waitMillis()).plus(POLL_TIMEOUT_MARGIN);
        exchange(polls, order, timeout, () -> {});
        return;
      }
      waiting.add(order);
      sendWaiting();
    }

    private void sendWaiting() {
      while (!waiting.isEmpty()) {
        if (idle.isEmpty()) {
          if (all.size() > ORDER_CONNECTIONS) {
            return;
          }
          idle.add(connection());
        }
        // The connection that was used last is surely open; others are used only if it is busy.
        HttpClientConnection free = idle.removeLast();
        exchange(
            free,
            waiting.remove(),
            ORDER_TIMEOUT,
            () -> {
              idle.addLast(free);
              sendWaiting();
            });
      }
    }

    private void exchange(
        HttpClientConnection connection,
        BatchCommand.Order order,
        Duration timeout,
        Runnable afterwards) {
      connection.send(
          ExecutorMessages.encode(executor.id(), order.fencingToken(), order.order()),
          timeout,
          result -> {
            listener.ended(
                executor.id(), order.number(), ExecutorMessages.decode(order.order(), result));
            afterwards.run();
          });
    }

    /** Who forgets an executor waits for none of its outcomes, so what was not sent is dropped. */
    void close() {
      waiting.clear();
      all.forEach(HttpClientConnection::close);
    }
  }
}
