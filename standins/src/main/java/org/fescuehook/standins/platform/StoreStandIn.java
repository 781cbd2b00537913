package org.fescuehook.standins.platform;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;

/**
 * The platform's store in memory: a log of topics with one partition each. A partition carries its
 * appends out one after another; an append that waits too long is refused.
 */
public final class StoreStandIn extends StandIn<StoreFaults> {

  /** Topics of this prefix keep the newest record of each key. */
  private static final String KEYED = "keyed.";

  private static final String OPERATORS = "keyed.op";
  private static final String EXECUTORS = "keyed.servers";

  private static final int REQUEST_BYTES = 2_097_152;
  private static final int KILOBYTE = 1024;
  private static final int DEFAULT_READ_KILOBYTES = 1024;

  /** Time that an append occupies its partition, in ms; a slow store does not lengthen it. */
  private static final double APPEND_MILLIS = 4;

  /** Usual time of the way to an append and of the way of an answer, in ms. */
  private static final double USUAL_MILLIS = 4;

  /** Part by which a way varies. */
  private static final double VARIATION = 0.25;

  /** An append that would wait longer in its partition is refused. */
  private static final long MOST_WAITING_MILLIS = 2000;

  /** An append whose effect comes late comes within these times. */
  private static final long LATE_FROM_MILLIS = 500;

  private static final long LATE_TO_MILLIS = 4000;
  private static final int PERMILLE = 1000;

  private final LongSupplier clock;
  private final StandInServer server;
  private final Map<String, Topic> topics = new HashMap<>();
  private StoreFaults faults = StoreFaults.NONE;
  private Stats stats = new Stats(0, 0, 0, 0);

  /** Counts of the store. */
  public record Stats(long appends, long reads, long failedCalls, long lostAnswers) {}

  private static final class Topic {
    private final StorePartition partition;
    private final List<Waiter> waiters = new ArrayList<>();
    private double busyUntil;

    private Topic(boolean keyed) {
      this.partition = new StorePartition(keyed);
    }
  }

  private record Waiter(Exchange exchange, long from) {}

  /** Starts the store; the clock gives monotonic milliseconds. */
  public StoreStandIn(EventLoopGroup group, InetSocketAddress address, LongSupplier clock)
      throws StandInException {
    super("store", StoreFaults.class);
    this.clock = clock;
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, REQUEST_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public synchronized void apply(StoreFaults next) {
    faults = next;
  }

  @Override
  public synchronized Stats stats() {
    return stats;
  }

  @Override
  protected List<StandInServer> servers() {
    return List.of(server);
  }

  /** Writes the operators' configuration, past all faults. */
  public synchronized void publishConfiguration() {
    put(OPERATORS, "config", PlatformConfiguration.text());
  }

  /** Writes an executor's entry, past all faults; an empty value removes it. */
  synchronized void putExecutor(String id, byte[] value) {
    put(EXECUTORS, id, value);
  }

  private void put(String name, String key, byte[] value) {
    Topic topic = topic(name);
    List<byte[]> records = List.of(StoreRecords.keyed(key, value));
    topic.partition.append(new AppendCall("", 0, 0, -1, records));
    wake(topic);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, n -> new Topic(n.startsWith(KEYED)));
  }

  private synchronized void handle(Exchange exchange) throws IOException {
    if (failed(exchange)) {
      return;
    }
    String name = exchange.text("topic");
    switch (exchange.call()) {
      case "POST /-/log-append" -> queueAppend(exchange, name);
      case "GET /-/log-read" -> read(exchange, topic(name));
      case "GET /-/log-newest" -> {
        count(0, 1, 0, 0);
        StorePartition.Page page = topic(name).partition.newest(exchange.text("dependsOn"));
        answerAfterWay(exchange, () -> exchange.reply(200, page));
      }
      default -> exchange.error(404, "not-found", exchange.call());
    }
  }

  private boolean failed(Exchange exchange) {
    if (faults.refusing() && !faults.silent()) {
      exchange.error(503, "outage", "the store is down");
    }
    if (faults.refusing() || faults.silent()) {
      count(0, 0, 1, 0);
      return true;
    }
    return false;
  }

  private void queueAppend(Exchange exchange, String name) {
    if (name.equals(OPERATORS) || name.equals(EXECUTORS)) {
      exchange.error(403, "read-only", name);
      return;
    }
    Topic topic = topic(name);
    double now = clock.getAsLong();
    if (topic.busyUntil - now > MOST_WAITING_MILLIS) {
      count(0, 0, 1, 0);
      exchange.error(503, "busy", "more than 2 s of appends wait");
      return;
    }
    topic.busyUntil = Math.max(now, topic.busyUntil) + APPEND_MILLIS;
    long wait = Math.round(topic.busyUntil - now) + way();
    AppendCall call = AppendCall.of(exchange);
    boolean lost = ThreadLocalRandom.current().nextInt(PERMILLE) < faults.lostPermille();
    long late =
        lost && faults.late()
            ? ThreadLocalRandom.current().nextLong(LATE_FROM_MILLIS, LATE_TO_MILLIS)
            : 0;
    exchange.later(wait + late, () -> append(exchange, topic, call, lost));
  }

  private synchronized void append(Exchange exchange, Topic topic, AppendCall call, boolean lost) {
    AppendAnswer answer = topic.partition.append(call);
    count(1, 0, 0, lost ? 1 : 0);
    wake(topic);
    if (!lost) {
      answerAfterWay(exchange, () -> exchange.reply(answer.status(), answer));
    }
  }

  private void read(Exchange exchange, Topic topic) {
    count(0, 1, 0, 0);
    long from = exchange.number("startKey", 0);
    long waitMillis = exchange.number("waitMs", 0);
    if (waitMillis <= 0 || from < topic.partition.end()) {
      answerRead(exchange, topic, from);
      return;
    }
    Waiter waiter = new Waiter(exchange, from);
    topic.waiters.add(waiter);
    exchange.later(waitMillis, () -> finish(topic, waiter));
  }

  private void wake(Topic topic) {
    for (Waiter waiter : List.copyOf(topic.waiters)) {
      finish(topic, waiter);
    }
  }

  private synchronized void finish(Topic topic, Waiter waiter) {
    if (topic.waiters.remove(waiter) && !failed(waiter.exchange)) {
      answerRead(waiter.exchange, topic, waiter.from);
    }
  }

  private void answerRead(Exchange exchange, Topic topic, long from) {
    long bytes = exchange.number("maxKb", DEFAULT_READ_KILOBYTES) * KILOBYTE;
    byte[] found = topic.partition.read(from, bytes);
    Map<String, String> fields = Map.of("Content-Type", "application/octet-stream");
    answerAfterWay(exchange, () -> exchange.reply(200, fields, found));
  }

  /** Answers unless the store went silent on the way. */
  private void answerAfterWay(Exchange exchange, Exchange.Step answer) {
    exchange.later(way(), () -> answerUnlessSilent(answer));
  }

  private long way() {
    double spread = ThreadLocalRandom.current().nextDouble(1 - VARIATION, 1 + VARIATION);
    return Math.round(USUAL_MILLIS * faults.factor() * spread);
  }

  private synchronized void answerUnlessSilent(Exchange.Step answer) throws IOException {
    if (!faults.silent()) {
      answer.run();
    }
  }

  private void count(int appended, int read, int failed, int lost) {
    stats =
        new Stats(
            stats.appends + appended,
            stats.reads + read,
            stats.failedCalls + failed,
            stats.lostAnswers + lost);
  }
}
