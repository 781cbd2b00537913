package org.fescuehook.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
 * Stand-in for the platform's advice service, which tells which executors may run a step and gives
 * tickets for them. It handles the calls of a machine one at a time; as all machines have one
 * address on loopback, each connection counts as a machine.
 */
public final class AdviceStandIn extends StandIn<AdviceFaults> {

  /** Time of each call, and for each executor that it names. */
  static final long DECISION_MILLIS = 40;

  static final long PERIOD_MILLIS = 4;

  /** Time for which a ticket is valid. */
  static final long VALIDITY_MILLIS = 6000;

  private static final int MAX_WORKERS = 100;
  private static final int MAX_WAITING = 32;
  private static final int MAX_REQUEST_BYTES = 65_536;
  private static final int PERMILLE = 1000;

  /** Each step may not run on one of this many groups of executors. */
  private static final int GROUPS = 3;

  private final LongSupplier clock;
  private final List<FleetMember> members;
  private final StandInServer server;

  /** Times at which the calls of each connection are handled, in turn. */
  private final Map<String, Deque<Long>> endsByCaller = new HashMap<>();

  private AdviceFaults faults = AdviceFaults.NONE;
  private long calls;
  private long refusedForWaiting;
  private long unanswered;

  /**
   * Counters of the service.
   *
   * @param calls calls that were handled
   * @param refusedForWaiting calls that were refused since too many were waiting
   * @param unanswered calls that got no response
   */
  public record Stats(long calls, long refusedForWaiting, long unanswered) {}

  /** Starts the service for the executors of a fleet. */
  public AdviceStandIn(
      EventLoopGroup group, InetSocketAddress address, LongSupplier clock, FleetStandIn fleet)
      throws StandInException {
    super("advice", AdviceFaults.class);
    this.clock = clock;
    this.members = fleet.members();
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_REQUEST_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns the address on which the service listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /**
   * Tells whether the executor with a number may run a step, which doesn't change.
   *
   * @param executors how many executors there are; a single one may run all steps
   */
  public static boolean allows(String step, int number, int executors) {
    return executors == 1 || number % GROUPS != Math.floorMod(step.hashCode(), GROUPS);
  }

  @Override
  public synchronized void apply(AdviceFaults next) {
    faults = next;
  }

  @Override
  public synchronized Stats stats() {
    return new Stats(calls, refusedForWaiting, unanswered);
  }

  @Override
  protected List<StandInServer> servers() {
    return List.of(server);
  }

  private synchronized void handle(Exchange exchange) throws IOException {
    if (faults.silent()) {
      unanswered++;
      return;
    }
    if (!exchange.call().equals("POST /-/advise")) {
      exchange.error(404, "not-found", exchange.call());
      return;
    }
    if (faults.refusing()) {
      exchange.error(503, "unavailable", "refuses all calls");
      return;
    }
    JsonNode question = exchange.json(JsonNode.class);
    String step = question.path("stepId").asText();
    List<String> workers = new ArrayList<>();
    question.path("workers").forEach(worker -> workers.add(worker.asText()));
    if (step.isEmpty() || workers.size() > MAX_WORKERS) {
      exchange.error(400, "bad-request", "no step, or too many workers");
      return;
    }
    long now = clock.getAsLong();
    Deque<Long> ends = endsByCaller.computeIfAbsent(exchange.caller(), c -> new ArrayDeque<>());
    ends.removeIf(end -> end <= now);
    // One of them is being handled.
    if (ends.size() > MAX_WAITING) {
      refusedForWaiting++;
      exchange.error(429, "busy", MAX_WAITING + " calls are waiting");
      return;
    }
    calls++;
    long begin = ends.isEmpty() ? now : ends.getLast();
    long lasting = DECISION_MILLIS + PERIOD_MILLIS * workers.size() + faults.delayMillis();
    ends.addLast(begin + lasting);
    if (ThreadLocalRandom.current().nextInt(PERMILLE) < faults.lostPermille()) {
      unanswered++;
      return;
    }
    exchange.later(
        begin + lasting - now, () -> exchange.reply(200, advice(step, List.copyOf(workers))));
  }

  private Map<String, Object> advice(String step, List<String> workers) {
    long until = clock.getAsLong() + VALIDITY_MILLIS;
    List<List<String>> allowed = new ArrayList<>();
    for (FleetMember member : members) {
      if (allows(step, member.number(), members.size())) {
        member
            .ticket(step, until)
            .filter(ticket -> workers.contains(ticket.executor()))
            .ifPresent(ticket -> allowed.add(List.of(ticket.executor(), ticket.text())));
      }
    }
    return Map.of("allowed", allowed, "validityMs", VALIDITY_MILLIS);
  }
}
