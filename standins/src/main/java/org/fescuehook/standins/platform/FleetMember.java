package org.fescuehook.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.StandInServer;

/**
 * An executor with a fixed address and its successive incarnations. It serves the orders to the
 * current incarnation and writes its entry into the store.
 */
final class FleetMember {

  private static final String START = "POST /-/run-start";

  /** Number of racks; executors are assigned to them in turn. */
  private static final int RACKS = 2;

  /** Number of zones; executors are assigned to them in turn. */
  private static final int ZONES = 3;

  private static final int INCARNATIONS_PER_ID = 2;
  static final int SLOTS = 4;
  private static final int MILLI_CORES_PER_SLOT = 1000;
  private static final int MEMORY_MEGABYTES_PER_SLOT = 1024;

  /** Rate of the slowest executor clock that the platform's protocol allows. */
  private static final double SLOWEST_CLOCK_RATE = 0.98;

  private static final int MAX_REQUEST_BYTES = 65_536;
  private static final int MAX_CONNECTIONS = 1024;
  private static final long MAX_POLL_WAIT_MILLIS = 2000;

  /** The store removes the entry of an executor that has missed three heartbeats. */
  private static final long ENTRY_EXPIRY_MILLIS = 4500;

  /** Range of the delay after which a late order is executed. */
  private static final long MIN_DELAY_MILLIS = 2000;

  private static final long MAX_DELAY_MILLIS = 8000;
  private static final int PERMILLE = 1000;

  private final int number;
  private final Service service;
  private final LongSupplier clock;
  private final StoreStandIn store;
  private final Consumer<RunEvent> journal;
  private final Gangs gangs;
  private final StandInServer server;
  private final EventLoopGroup group;
  private final List<StandInServer> linkServers = new CopyOnWriteArrayList<>();
  private final List<Exchange> waitingPolls = new ArrayList<>();
  private TaskExecutor executor;
  private Optional<FleetFaults.OrderLoss> orderLoss = Optional.empty();
  private boolean failing;
  private int incarnations;
  private boolean up = true;
  private long heartbeats;

  /**
   * The service of an executor.
   *
   * @param accelerators accelerators of each of its executors
   */
  record Service(String name, int accelerators) {}

  FleetMember(
      EventLoopGroup group,
      InetSocketAddress address,
      int number,
      Service service,
      LongSupplier clock,
      StoreStandIn store,
      Consumer<RunEvent> journal,
      Gangs gangs)
      throws StandInException {
    this.number = number;
    this.service = service;
    this.clock = clock;
    this.store = store;
    this.journal = journal;
    this.gangs = gangs;
    this.group = group;
    this.executor = next(0);
    var limits = new StandInServer.Limits(MAX_CONNECTIONS, MAX_REQUEST_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Creates the next incarnation. Every second one has the id of its predecessor. */
  private TaskExecutor next(long previousBornMillis) {
    incarnations++;
    String id = "x" + number + "-" + (incarnations + 1) / INCARNATIONS_PER_ID;
    long born = Math.max(previousBornMillis + 1, System.currentTimeMillis());
    double rate = number % 2 == 0 ? SLOWEST_CLOCK_RATE : 1;
    long offset = -(long) (clock.getAsLong() * rate) + 1000L * number;
    return new TaskExecutor(id, born, SLOTS, rate, offset, journal, gangs);
  }

  /** Returns the labels of an executor, which all its incarnations have: its kind and its rack. */
  static List<String> labels(int number) {
    return List.of("kind-a", "rack-" + number % RACKS);
  }

  /** Returns the zone of an executor, which all its incarnations are in. */
  static String zone(int number) {
    return "zone-" + number % ZONES;
  }

  static List<String> zones() {
    return IntStream.range(0, ZONES).mapToObj(FleetMember::zone).toList();
  }

  StandInServer server() {
    return server;
  }

  /** Listens on one more port, on which the network can lose a share of what passes. */
  StandInServer addLink(InetSocketAddress address, int backlog) throws StandInException {
    var limits = new StandInServer.Limits(MAX_CONNECTIONS, MAX_REQUEST_BYTES, backlog);
    StandInServer link = new StandInServer(group, address, limits, this::handle);
    linkServers.add(link);
    return link;
  }

  /** Crashes the current incarnation and starts the next one at once. */
  synchronized void crash() {
    if (!up) {
      return;
    }
    executor.crash(clock.getAsLong());
    linkServers.forEach(StandInServer::replaceProcess);
    waitingPolls.clear();
    TaskExecutor crashed = executor;
    executor = next(crashed.bornMillis());
    if (!executor.id().equals(crashed.id())) {
      removeEntryLater(crashed.id());
    }
    heartbeat();
  }

  /** Returns a ticket for the current incarnation; empty while the machine is away. */
  synchronized Optional<Ticket> ticket(String step, long untilMillis) {
    return up
        ? Optional.of(new Ticket(step, executor.id(), executor.bornMillis(), untilMillis))
        : Optional.empty();
  }

  int number() {
    return number;
  }

  /** Tells whether the machine runs its executor. */
  synchronized boolean up() {
    return up;
  }

  /** Returns how many runs are active on the machine. */
  synchronized int activeRuns() {
    return up ? executor.activeRuns() : 0;
  }

  /** Describes the machine as the platform lists it. */
  synchronized Map<String, Object> machine() {
    Map<String, Object> machine = new LinkedHashMap<>();
    machine.put("machineId", MachineStandIn.machineId(number));
    machine.put("pool", service.name());
    machine.put("state", up ? "up" : "upkeep");
    machine.put("zone", zone(number));
    machine.put("labels", labels(number));
    machine.put("id", executor.id());
    return machine;
  }

  /** Ends the current incarnation; the machine answers nothing until it comes back. */
  synchronized void goAway() {
    up = false;
    executor.crash(clock.getAsLong());
    waitingPolls.clear();
    removeEntryLater(executor.id());
  }

  /** Starts the next incarnation, which has another id. */
  synchronized void comeBack() {
    // An id is used by a pair of incarnations, of which the first one is skipped if it is due.
    String before = executor.id();
    executor = next(executor.bornMillis());
    if (executor.id().equals(before)) {
      executor = next(executor.bornMillis());
    }
    up = true;
    heartbeat();
  }

  private void removeEntryLater(String id) {
    group
        .next()
        .schedule(
            () -> store.putExecutor(id, new byte[0]), ENTRY_EXPIRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Writes the entry of the current incarnation into the store. */
  synchronized void heartbeat() {
    if (!up) {
      return;
    }
    heartbeats++;
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service.name());
    entry.put("address", ExecutorLinks.text(server.address()));
    entry.put("zone", zone(number));
    entry.put("version", "1");
    entry.put("slots", SLOTS);
    entry.put("state", "ready");
    entry.put("coldLeftMs", 0);
    entry.put("sequence", heartbeats);
    entry.put("born", executor.bornMillis());
    entry.put(
        "capacity",
        Map.of(
            "cpu",
            SLOTS * MILLI_CORES_PER_SLOT,
            "memMb",
            SLOTS * MEMORY_MEGABYTES_PER_SLOT,
            "gpu",
            service.accelerators()));
    entry.put("labels", labels(number));
    store.putExecutor(executor.id(), Json.write(entry));
  }

  /** Ends the runs that are due, responds to waiting polls and restarts a crashed executor. */
  synchronized void advance() {
    if (!up) {
      return;
    }
    if (executor.advance(clock.getAsLong())) {
      List.copyOf(waitingPolls).forEach(this::completePoll);
    }
    if (executor.crashed()) {
      crash();
    }
  }

  /** Sets which orders get no response from now on. */
  synchronized void setOrderLoss(Optional<FleetFaults.OrderLoss> orders) {
    orderLoss = orders;
  }

  /** Sets whether this executor and its next incarnations fail every run that they start. */
  synchronized void setFailing(boolean fails) {
    failing = fails;
  }

  private synchronized void handle(Exchange exchange) throws IOException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (orderLoss.isEmpty() || random.nextInt(PERMILLE) >= orderLoss.get().permille()) {
      execute(exchange, false);
    } else if (orderLoss.get().late()) {
      long delay = random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
      TaskExecutor holder = executor;
      record(RunEvent.Kind.HELD, exchange, holder);
      exchange.later(delay, () -> executeLate(exchange, holder));
    }
  }

  /** Executes a late order, unless the incarnation that held it has crashed with it. */
  private synchronized void executeLate(Exchange exchange, TaskExecutor holder) throws IOException {
    if (executor == holder) {
      execute(exchange, true);
      return;
    }
    record(RunEvent.Kind.DROPPED, exchange, holder);
  }

  /** Records what happens to a late start. */
  private void record(RunEvent.Kind kind, Exchange exchange, TaskExecutor holder)
      throws IOException {
    if (!exchange.call().equals(START)) {
      return;
    }
    JsonNode order = exchange.json(JsonNode.class);
    String task = order.path("taskId").asText();
    int run = order.path("runId").asInt();
    long now = clock.getAsLong();
    journal.accept(new RunEvent(kind, holder.id(), holder.bornMillis(), task, run, "", now));
  }

  /** Executes an order; a late order gets no response. */
  private synchronized void execute(Exchange exchange, boolean late) throws IOException {
    if (!up) {
      return;
    }
    executor.advance(clock.getAsLong());
    if (executor.crashed()) {
      crash();
    }
    if (!exchange.header("Expected-Instance").equals(executor.id())) {
      if (!late) {
        exchange.reply(421, withClock(Map.of()));
      }
      return;
    }
    JsonNode order = exchange.json(JsonNode.class);
    long now = clock.getAsLong();
    TaskExecutor.Outcome outcome =
        switch (exchange.call()) {
          case START -> executor.start(order, now, new TaskExecutor.StartConditions(late, failing));
          case "POST /-/run-stop" -> executor.stop(order, now);
          case "POST /-/hold" -> executor.hold(order, now);
          case "POST /-/pace" -> executor.pace(order);
          default -> throw new IOException("no call " + exchange.call());
        };
    if (!late) {
      respond(exchange, order, outcome);
    }
  }

  private void respond(Exchange exchange, JsonNode order, TaskExecutor.Outcome outcome) {
    switch (outcome) {
      case TaskExecutor.Outcome.Rejected(String reason) ->
          exchange.reply(409, withClock(Map.of("reason", reason)));
      case TaskExecutor.Outcome.Done done when exchange.call().equals("POST /-/hold") ->
          respondToPoll(exchange, order.path("waitMs").asLong());
      case TaskExecutor.Outcome.Done done -> exchange.reply(200, withClock(Map.of()));
    }
  }

  private void respondToPoll(Exchange exchange, long waitMillis) {
    waitingPolls.add(exchange);
    if (waitMillis <= 0 || executor.hasUnacknowledgedEnds()) {
      completePoll(exchange);
      return;
    }
    exchange.later(Math.min(waitMillis, MAX_POLL_WAIT_MILLIS), () -> completePoll(exchange));
  }

  private synchronized void completePoll(Exchange exchange) {
    if (waitingPolls.remove(exchange)) {
      exchange.reply(200, executor.pollResponse(clock.getAsLong()));
    }
  }

  private Map<String, Object> withClock(Map<String, Object> fields) {
    Map<String, Object> body = new LinkedHashMap<>(fields);
    body.put("clockMs", executor.clock(clock.getAsLong()));
    return body;
  }
}
