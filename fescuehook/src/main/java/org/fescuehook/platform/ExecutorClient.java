package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.io.IOException;
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
import org.fescuehook.net.http.HttpResult;

/**
 * Sends orders to executors. Each executor has one connection for polls, which the executor may
 * hold open, and a few for all other orders. All state is confined to one event loop.
 */
public final class ExecutorClient {

  /** Timeout for connecting. The network latency between failure domains is about 1 ms. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * Connections for orders to one executor, so that one unanswered order does not delay the others.
   */
  private static final int ORDER_CONNECTIONS = 3;

  private final EventLoop loop;
  private final Listener listener;
  private final Map<ExecutorId, Connections> executors = new HashMap<>();

  /** Receives the outcomes of orders on the event loop. */
  @FunctionalInterface
  public interface Listener {

    /** Called when the outcome of an order is known. */
    void ended(ExecutorId executor, long number, OrderOutcome outcome);
  }

  /** Creates a client without connections. */
  public ExecutorClient(EventLoop loop, Listener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /** Sends an order to the address that it names, which may change under the id of an executor. */
  public void send(BatchCommand.Order order) {
    loop.execute(() -> connectionsTo(order.executor()).send(order));
  }

  private Connections connectionsTo(ExecutorProfile executor) {
    Connections known = executors.get(executor.id());
    if (known != null && known.executor.address().equals(executor.address())) {
      return known;
    }
    Connections opened = new Connections(executor);
    executors.put(executor.id(), opened);
    if (known != null) {
      known.abandon();
    }
    return opened;
  }

  /** Closes the connections to an executor and drops its queued orders. */
  public void forget(ExecutorId id) {
    loop.execute(() -> Optional.ofNullable(executors.remove(id)).ifPresent(Connections::close));
  }

  /** Closes all connections and drops all queued orders. */
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
      if (order.order() instanceof ExecutorOrder.Poll) {
        exchange(polls, order, () -> {});
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
        // Prefers the connection used last, as it is the most likely to be open still.
        HttpClientConnection free = idle.removeLast();
        exchange(
            free,
            waiting.remove(),
            () -> {
              idle.addLast(free);
              sendWaiting();
            });
      }
    }

    private void exchange(
        HttpClientConnection connection, BatchCommand.Order order, Runnable afterwards) {
      connection.send(
          ExecutorMessages.encode(executor.id(), order.fenceToken(), order.order()),
          order.timeout(),
          result -> {
            listener.ended(
                executor.id(), order.number(), ExecutorMessages.decode(order.order(), result));
            afterwards.run();
          });
    }

    /** Closes the connections; each order without an answer ends as not sent or unanswered. */
    void abandon() {
      List<BatchCommand.Order> unsent = List.copyOf(waiting);
      close();
      HttpResult result =
          new HttpResult.Failed(new IOException("its executor has another address"), false);
      for (BatchCommand.Order order : unsent) {
        listener.ended(
            executor.id(), order.number(), ExecutorMessages.decode(order.order(), result));
      }
    }

    /**
     * Drops the orders that have not been sent. Nothing waits for the outcomes of a forgotten
     * executor.
     */
    void close() {
      waiting.clear();
      all.forEach(HttpClientConnection::close);
    }
  }
}
