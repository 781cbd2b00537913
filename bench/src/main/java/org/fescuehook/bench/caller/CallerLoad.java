package org.fescuehook.bench.caller;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.Waiting;

/**
 * Callers that send one request after another, each to the address that a balancer names, until
 * they are stopped. The executor echoes the body, so that each answer can be told from others.
 */
public final class CallerLoad {
  private static final long MAX_NANOS = 60_000_000_000L;
  private static final int DIGITS = 3;
  private static final Duration MORE_LIMIT = Duration.ofSeconds(60);

  private final CallerClient client;
  private final Balancer balancer;
  private final Kind kind;
  private final AtomicLong next = new AtomicLong();
  private final AtomicLong finished = new AtomicLong();
  private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
  private final Histogram nanos = new ConcurrentHistogram(MAX_NANOS, DIGITS);
  private final CountDownLatch running;
  private volatile boolean stopping;

  /**
   * What is sent.
   *
   * @param name first part of the paths, which are unique
   * @param callers how many send at a time
   * @param runMillis how long an executor runs each request
   * @param headers headers of each request
   */
  public record Kind(String name, int callers, long runMillis, Map<String, String> headers) {}

  /**
   * A request that was sent.
   *
   * @param path its path, as the executor sees it
   * @param to the service port
   */
  public record Sent(String path, InetSocketAddress to, CallerOutcome outcome) {

    /** Tells whether the answer is whole, and the one to this request. */
    public boolean whole() {
      return outcome instanceof CallerOutcome.Answered a
          && a.status() == 200
          && a.text().equals(path);
    }

    /** Tells whether the request was refused as not run. */
    public boolean notRun() {
      return (outcome instanceof CallerOutcome.Answered a && a.notRun())
          || outcome instanceof CallerOutcome.NotSent;
    }

    /** Tells whether a whole answer came that belongs to another request. */
    public boolean foreign() {
      return outcome instanceof CallerOutcome.Answered a
          && a.status() == 200
          && !a.text().equals(path);
    }
  }

  /** Creates callers that do not send yet; no address makes them try again a little later. */
  public CallerLoad(CallerClient client, Balancer balancer, Kind kind) {
    this.client = client;
    this.balancer = balancer;
    this.kind = kind;
    this.running = new CountDownLatch(kind.callers());
  }

  /** Starts all callers, each on a thread of its own. */
  public void start() {
    for (int i = 0; i < kind.callers(); i++) {
      Thread.ofVirtual().name("caller-" + i).start(this::call);
    }
  }

  /** Waits until so many further requests have an outcome. */
  public void awaitMore(long count) throws ClusterException, InterruptedException {
    long wanted = finished.get() + count;
    Waiting.until(
        "send " + count + " requests",
        kind.name(),
        MORE_LIMIT,
        () -> Optional.of(finished.get()).filter(n -> n >= wanted));
  }

  /** Lets each caller end after its present request, waits for that and closes the balancer. */
  public void stop() throws InterruptedException {
    stopping = true;
    running.await();
    balancer.close();
  }

  /** Returns all requests that have an outcome. */
  public List<Sent> sent() {
    return List.copyOf(sent);
  }

  /** Returns the times of whole answers, in nanoseconds. */
  public Histogram nanos() {
    return nanos.copy();
  }

  private void call() {
    try {
      while (!stopping) {
        balancer.next().ifPresent(this::sendOne);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      running.countDown();
    }
  }

  private void sendOne(InetSocketAddress address) {
    String path = "/" + kind.name() + "/" + next.getAndIncrement();
    byte[] body = path.getBytes(StandardCharsets.UTF_8);
    String target = "/requests" + path + "?ms=" + kind.runMillis();
    CallerRequest request = new CallerRequest("POST", target, kind.headers(), body, 30_000);
    CallerOutcome outcome = client.send(address, request).join();
    if (outcome instanceof CallerOutcome.Answered answered) {
      nanos.recordValue(Math.min(MAX_NANOS, answered.nanos()));
    }
    sent.add(new Sent(path, address, outcome));
    finished.incrementAndGet();
  }
}
