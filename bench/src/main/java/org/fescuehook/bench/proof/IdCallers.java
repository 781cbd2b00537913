package org.fescuehook.bench.proof;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.caller.CallerRequest;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.Waiting;

/**
 * Callers whose requests are not repeatable and have an id; what is not answered whole is tried
 * again at the next VM under the same id.
 */
final class IdCallers {
  private static final int CALLERS = 6;
  private static final int MAX_ATTEMPTS = 6;
  private static final long BACK_OFF_MILLIS = 200;
  private static final long ATTEMPT_MILLIS = 30_000;
  private static final Duration MORE_LIMIT = Duration.ofSeconds(90);

  private final CallerClient client;
  private final Rotation rotation;
  private final String name;
  private final long runMillis;
  private final AtomicLong next = new AtomicLong();
  private final ConcurrentLinkedQueue<TriedRequest> finished = new ConcurrentLinkedQueue<>();
  private final CountDownLatch stopping = new CountDownLatch(1);
  private final CountDownLatch running = new CountDownLatch(CALLERS);

  IdCallers(CallerClient client, Rotation rotation, String name, long runMillis) {
    this.client = client;
    this.rotation = rotation;
    this.name = name;
    this.runMillis = runMillis;
  }

  void start() {
    for (int i = 0; i < CALLERS; i++) {
      Thread.ofVirtual().name(name + "-" + i).start(this::call);
    }
  }

  /** Waits until so many further requests have ended. */
  void awaitMore(int count) throws ClusterException, InterruptedException {
    int wanted = finished.size() + count;
    Waiting.until(
        "send " + count + " requests",
        name,
        MORE_LIMIT,
        () -> Optional.of(finished.size()).filter(n -> n >= wanted));
  }

  /** Lets each caller end its present request, and returns all. */
  List<TriedRequest> stop() throws InterruptedException {
    stopping.countDown();
    running.await();
    return List.copyOf(finished);
  }

  private void call() {
    try {
      while (stopping.getCount() > 0) {
        finished.add(tryOne());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      running.countDown();
    }
  }

  private TriedRequest tryOne() throws InterruptedException {
    String path = "/" + name + "/" + next.getAndIncrement();
    List<Sent> attempts = new ArrayList<>();
    for (int i = 1; i <= MAX_ATTEMPTS; i++) {
      Sent sent = send(path);
      attempts.add(sent);
      if (sent.whole()) {
        break;
      }
      TimeUnit.MILLISECONDS.sleep(BACK_OFF_MILLIS);
    }
    return new TriedRequest(path, false, attempts);
  }

  private Sent send(String path) {
    InetSocketAddress address = rotation.next().orElseThrow();
    byte[] body = path.getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers =
        Map.of("Organisation", "bench", "Request-Id", path, "Request-Timeout-Ms", "5000");
    String target = "/requests" + path + "?ms=" + runMillis;
    CallerRequest request = new CallerRequest("POST", target, headers, body, ATTEMPT_MILLIS);
    return new Sent(path, address, client.send(address, request).join());
  }
}
