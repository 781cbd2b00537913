package org.fescuehook.standins.platform;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.StandInServer;

/**
 * In-memory stand-in for the platform's store, a log of topics with one partition each. A partition
 * executes its appends one after another and rejects an append that would wait too long.
 */
public final class StoreStandIn extends StandIn<StoreFaults> {

  /** Prefix of the topics that also index the newest record of each key. */
  private static final String KEYED_TOPIC_PREFIX = "keyed.";

  private static final String OPERATORS_TOPIC = "keyed.op";
  private static final String EXECUTORS_TOPIC = "keyed.servers";

  /** Topics whose records name addresses of executors. */
  private static final Set<String> VIEWED_TOPICS =
      Set.of(EXECUTORS_TOPIC, "keyed.fescuehook-owner");

  private static final String WAVE_KEY_PREFIX = "wave/";
  private static final String EVACUATION_KEY_PREFIX = "evacuate/";

  /**
   * One in this many executors has its entry overwritten by an odd one until its next heartbeat.
   */
  private static final int ODD_ENTRY_STEP = 3;

  /** Value of the record that evacuates a zone. */
  private static final byte[] EVACUATION = {'{', '}'};

  private static final int MAX_REQUEST_BYTES = 2_097_152;
  private static final int BYTES_PER_KILOBYTE = 1024;
  private static final int DEFAULT_READ_KILOBYTES = 1024;

  /** Time for which an append occupies its partition; {@code slowFactor} doesn't affect it. */
  private static final double APPEND_MILLIS = 4;

  /** Mean network delay of an append request, and of the response to any request. */
  private static final double NETWORK_DELAY_MILLIS = 4;

  /** Fraction by which a network delay varies in both directions. */
  private static final double NETWORK_DELAY_VARIATION = 0.25;

  /** Longest time that an append may wait for its partition; a longer wait is rejected. */
  private static final long MAX_QUEUE_DELAY_MILLIS = 2000;

  /** Range of the additional delay before a late append takes effect. */
  private static final long MIN_LATE_MILLIS = 500;

  private static final long MAX_LATE_MILLIS = 4000;
  private static final int PERMILLE = 1000;

  private final LongSupplier clock;
  private final EventLoopGroup group;
  private final StandInServer server;
  private final List<StandInServer> views = new CopyOnWriteArrayList<>();
  private final Map<String, Topic> topics = new HashMap<>();
  private StoreFaults faults = StoreFaults.NONE;
  private Stats stats = new Stats(0, 0, 0, 0);

  /** Counters of the store. */
  public record Stats(long appends, long reads, long failedCalls, long lostAnswers) {}

  /** A topic with its waiting reads, and the time until which queued appends occupy it. */
  private static final class Topic {
    private final StorePartition partition;
    private final List<WaitingRead> waitingReads = new ArrayList<>();
    private double busyUntil;

    private Topic(boolean keyed) {
      this.partition = new StorePartition(keyed);
    }
  }

  private record WaitingRead(Exchange exchange, long from, UnaryOperator<byte[]> view) {}

  /** Starts the store; the clock returns monotonic milliseconds. */
  public StoreStandIn(EventLoopGroup group, InetSocketAddress address, LongSupplier clock)
      throws StandInException {
    super("store", StoreFaults.class);
    this.clock = clock;
    this.group = group;
    this.server = serve(address, UnaryOperator.identity());
  }

  private StandInServer serve(InetSocketAddress address, UnaryOperator<byte[]> view)
      throws StandInException {
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_REQUEST_BYTES);
    return new StandInServer(group, address, limits, exchange -> handle(exchange, view));
  }

  /** Returns the address on which the store listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Listens on one more address, on which the view shows the records that name executors. */
  InetSocketAddress addView(InetSocketAddress address, UnaryOperator<byte[]> view)
      throws StandInException {
    StandInServer added = serve(address, view);
    views.add(added);
    return added.address();
  }

  @Override
  public synchronized void apply(StoreFaults next) {
    StoreFaults previous = faults;
    faults = next;
    next.evacuated().stream()
        .filter(zone -> !previous.evacuated().contains(zone))
        .forEach(zone -> putEvacuation(zone, EVACUATION));
    previous.evacuated().stream()
        .filter(zone -> !next.evacuated().contains(zone))
        .forEach(zone -> putEvacuation(zone, new byte[0]));
    if (next.historyLosses() > previous.historyLosses()) {
      dropHistory(OPERATORS_TOPIC);
      dropHistory(EXECUTORS_TOPIC);
    }
    if (next.configurations() > previous.configurations()) {
      putConfiguration(next.configurations());
    }
    if (next.oddEntries() > previous.oddEntries()) {
      writeOddEntries();
    }
  }

  /** Writes odd entries under keys of their own and over some entries of executors. */
  private void writeOddEntries() {
    List<byte[]> values = OddEntries.values();
    List<String> executors =
        topic(EXECUTORS_TOPIC).partition.keys().stream()
            .filter(key -> !key.startsWith(OddEntries.KEY_PREFIX))
            .toList();
    for (int i = 0; i < values.size(); i++) {
      put(EXECUTORS_TOPIC, OddEntries.KEY_PREFIX + i, values.get(i));
      int executor = i * ODD_ENTRY_STEP;
      if (executor < executors.size()) {
        put(EXECUTORS_TOPIC, executors.get(executor), values.get(i));
      }
    }
  }

  private void putEvacuation(String zone, byte[] value) {
    put(OPERATORS_TOPIC, EVACUATION_KEY_PREFIX + zone, value);
  }

  /** Writes the record that asks for a maintenance wave; faults don't affect this. */
  synchronized void putWave(MachineFaults.Wave wave) {
    Map<String, Object> record =
        Map.of(
            "wave",
            wave.wave(),
            "machines",
            wave.machines().stream().map(MachineStandIn::machineId).toList(),
            "deadlineS",
            wave.deadlineS(),
            "cap",
            wave.cap());
    put(OPERATORS_TOPIC, WAVE_KEY_PREFIX + wave.wave(), Json.write(record));
  }

  /** Withdraws a maintenance wave; faults don't affect this. */
  synchronized void removeWave(int wave) {
    put(OPERATORS_TOPIC, WAVE_KEY_PREFIX + wave, new byte[0]);
  }

  /** Drops the history of a topic; reads that wait there are answered that it is gone. */
  private void dropHistory(String name) {
    Topic topic = topic(name);
    topic.partition.dropHistory();
    completeWaitingReads(topic);
  }

  @Override
  public synchronized Stats stats() {
    return stats;
  }

  @Override
  protected List<StandInServer> servers() {
    return Stream.concat(Stream.of(server), views.stream()).toList();
  }

  /** Writes the operators' first configuration; faults don't affect this write. */
  public synchronized void publishConfiguration() {
    putConfiguration(0);
  }

  private void putConfiguration(int number) {
    put(OPERATORS_TOPIC, "config", PlatformConfiguration.text(number));
  }

  /** Writes an executor's entry, or removes it if the value is empty; faults don't affect this. */
  synchronized void putExecutor(String id, byte[] value) {
    put(EXECUTORS_TOPIC, id, value);
  }

  private void put(String name, String key, byte[] value) {
    Topic topic = topic(name);
    List<byte[]> records = List.of(StoreRecords.keyed(key, value));
    topic.partition.append(new AppendCall("", 0, 0, -1, records));
    completeWaitingReads(topic);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, n -> new Topic(n.startsWith(KEYED_TOPIC_PREFIX)));
  }

  private synchronized void handle(Exchange exchange, UnaryOperator<byte[]> view)
      throws IOException {
    if (failsByFault(exchange)) {
      return;
    }
    String name = exchange.text("topic");
    UnaryOperator<byte[]> shown = VIEWED_TOPICS.contains(name) ? view : UnaryOperator.identity();
    switch (exchange.call()) {
      case "POST /-/log-append" -> queueAppend(exchange, name);
      case "GET /-/log-read" -> read(exchange, topic(name), shown);
      case "GET /-/log-newest" -> {
        count(0, 1, 0, 0);
        var page = topic(name).partition.newest(exchange.text("dependsOn"), shown);
        respondAfterDelay(exchange, () -> exchange.reply(200, page));
      }
      default -> exchange.error(404, "not-found", exchange.call());
    }
  }

  /**
   * Returns whether a fault in force prevents the request, after responding if the store refuses.
   */
  private boolean failsByFault(Exchange exchange) {
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
    if (name.equals(OPERATORS_TOPIC) || name.equals(EXECUTORS_TOPIC)) {
      exchange.error(403, "read-only", name);
      return;
    }
    Topic topic = topic(name);
    double now = clock.getAsLong();
    if (topic.busyUntil - now > MAX_QUEUE_DELAY_MILLIS) {
      count(0, 0, 1, 0);
      exchange.error(503, "busy", "more than 2 s of appends wait");
      return;
    }
    topic.busyUntil = Math.max(now, topic.busyUntil) + APPEND_MILLIS;
    long wait = Math.round(topic.busyUntil - now) + networkDelay();
    AppendCall call = AppendCall.of(exchange);
    boolean lost = ThreadLocalRandom.current().nextInt(PERMILLE) < faults.lostPermille();
    long late =
        lost && faults.late()
            ? ThreadLocalRandom.current().nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS)
            : 0;
    exchange.later(wait + late, () -> append(exchange, topic, call, lost));
  }

  private synchronized void append(Exchange exchange, Topic topic, AppendCall call, boolean lost) {
    AppendAnswer answer = topic.partition.append(call);
    count(1, 0, 0, lost ? 1 : 0);
    completeWaitingReads(topic);
    if (!lost) {
      respondAfterDelay(exchange, () -> exchange.reply(answer.status(), answer));
    }
  }

  private void read(Exchange exchange, Topic topic, UnaryOperator<byte[]> view) {
    count(0, 1, 0, 0);
    long from = exchange.number("startKey", 0);
    long waitMillis = exchange.number("waitMs", 0);
    if (waitMillis <= 0 || from < topic.partition.end()) {
      respondToRead(exchange, topic, from, view);
      return;
    }
    WaitingRead waitingRead = new WaitingRead(exchange, from, view);
    topic.waitingReads.add(waitingRead);
    exchange.later(waitMillis, () -> completeRead(topic, waitingRead));
  }

  private void completeWaitingReads(Topic topic) {
    for (WaitingRead waitingRead : List.copyOf(topic.waitingReads)) {
      completeRead(topic, waitingRead);
    }
  }

  private synchronized void completeRead(Topic topic, WaitingRead waitingRead) {
    if (topic.waitingReads.remove(waitingRead) && !failsByFault(waitingRead.exchange)) {
      respondToRead(waitingRead.exchange, topic, waitingRead.from, waitingRead.view);
    }
  }

  private void respondToRead(
      Exchange exchange, Topic topic, long from, UnaryOperator<byte[]> view) {
    long firstKept = topic.partition.firstKept();
    if (from < firstKept) {
      respondAfterDelay(exchange, () -> exchange.reply(410, Map.of("startOffset", firstKept)));
      return;
    }
    long bytes = exchange.number("maxKb", DEFAULT_READ_KILOBYTES) * BYTES_PER_KILOBYTE;
    byte[] found = topic.partition.read(from, bytes, view);
    Map<String, String> fields = Map.of("Content-Type", "application/octet-stream");
    respondAfterDelay(exchange, () -> exchange.reply(200, fields, found));
  }

  /** Responds after the network delay, unless the store is silent by then. */
  private void respondAfterDelay(Exchange exchange, Exchange.Step answer) {
    exchange.later(networkDelay(), () -> respondUnlessSilent(answer));
  }

  private long networkDelay() {
    double spread =
        ThreadLocalRandom.current()
            .nextDouble(1 - NETWORK_DELAY_VARIATION, 1 + NETWORK_DELAY_VARIATION);
    return Math.round(NETWORK_DELAY_MILLIS * faults.factor() * spread);
  }

  private synchronized void respondUnlessSilent(Exchange.Step answer) throws IOException {
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
