package org.fescuehook.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;

/**
 * Stand-in for the platform's machine API, which lists the machines of the executors and takes them
 * through maintenance. Its journal shows each call that was carried out or refused.
 */
public final class MachineStandIn extends StandIn<MachineFaults> {

  private static final int MAX_REQUEST_BYTES = 65_536;
  private static final int PAGE = 100;
  private static final int PERMILLE = 1000;
  private static final int CALLS_PER_SECOND = 60;
  private static final long SECOND_MILLIS = 1000;
  private static final long MAINTENANCE_MILLIS = 2000;

  private final LongSupplier clock;
  private final StoreStandIn store;
  private final List<FleetMember> members;
  private final EventLoopGroup group;
  private final StandInServer server;
  private final Journal<MachineCall> journal;
  private final Map<Integer, Long> tokens = new HashMap<>();
  private final Map<Integer, Set<Integer>> begun = new HashMap<>();
  private final List<Long> callTimes = new ArrayList<>();
  private MachineFaults faults = MachineFaults.NONE;
  private long reads;

  /** Counters of the API. */
  public record Stats(long reads, long dropped) {}

  /**
   * Starts the API.
   *
   * @param store store that receives the waves
   * @param fleet the executors, each of which runs on a machine of its own
   */
  public MachineStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      LongSupplier clock,
      StoreStandIn store,
      FleetStandIn fleet,
      int journalLimit)
      throws StandInException {
    super("machines", MachineFaults.class);
    this.group = group;
    this.clock = clock;
    this.store = store;
    this.members = fleet.members();
    this.journal = new Journal<>(journalLimit);
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_REQUEST_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns the address on which the API listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the id of a machine. */
  public static String machineId(int number) {
    return "m" + number;
  }

  @Override
  public synchronized void apply(MachineFaults next) {
    Map<Integer, MachineFaults.Wave> before = byNumber(faults);
    Map<Integer, MachineFaults.Wave> after = byNumber(next);
    faults = next;
    after.values().stream()
        .filter(wave -> !wave.equals(before.get(wave.wave())))
        .forEach(store::putWave);
    before.keySet().stream().filter(wave -> !after.containsKey(wave)).forEach(store::removeWave);
  }

  private static Map<Integer, MachineFaults.Wave> byNumber(MachineFaults faults) {
    Map<Integer, MachineFaults.Wave> waves = new LinkedHashMap<>();
    faults.waves().forEach(wave -> waves.put(wave.wave(), wave));
    return waves;
  }

  @Override
  public List<MachineCall> journal() {
    return journal.entries();
  }

  @Override
  public synchronized Stats stats() {
    return new Stats(reads, journal.dropped());
  }

  @Override
  protected List<StandInServer> servers() {
    return List.of(server);
  }

  private synchronized void handle(Exchange exchange) throws IOException {
    if (faults.silent()) {
      return;
    }
    switch (exchange.call()) {
      case "GET /-/machines" -> list(exchange);
      case "POST /-/machine-upkeep" -> begin(exchange);
      default -> exchange.error(404, "not-found", exchange.call());
    }
  }

  private void list(Exchange exchange) {
    reads++;
    int from = (int) exchange.number("pageToken", 0);
    int to = Math.min(members.size(), from + PAGE);
    List<Map<String, Object>> page = new ArrayList<>();
    for (FleetMember member : members.subList(from, to)) {
      page.add(member.machine());
    }
    Map<String, Object> body = new HashMap<>();
    body.put("machines", page);
    body.put("nextToken", to < members.size() ? String.valueOf(to) : null);
    exchange.later(faults.delayMillis(), () -> exchange.reply(200, body));
  }

  private void begin(Exchange exchange) throws IOException {
    long now = clock.getAsLong();
    callTimes.removeIf(at -> now - at >= SECOND_MILLIS);
    if (callTimes.size() >= CALLS_PER_SECOND || happens(faults.tooManyPermille())) {
      exchange.error(429, "rate", "too many calls");
      return;
    }
    callTimes.add(now);
    boolean lost = happens(faults.lostPermille());
    boolean busy = happens(faults.busyPermille());
    JsonNode call = exchange.json(JsonNode.class);
    exchange.later(
        lost ? faults.lateMillis() : 0,
        () -> {
          Answer answer = carryOut(exchange, call, busy);
          if (!lost) {
            exchange.later(
                faults.delayMillis(), () -> exchange.reply(answer.status(), answer.body()));
          }
        });
  }

  private static boolean happens(int permille) {
    return ThreadLocalRandom.current().nextInt(PERMILLE) < permille;
  }

  private record Answer(int status, Map<String, String> body) {}

  private synchronized Answer carryOut(Exchange exchange, JsonNode call, boolean busy) {
    Optional<FleetMember> member =
        members.stream()
            .filter(m -> machineId(m.number()).equals(call.path("machineId").asText()))
            .findFirst();
    if (member.isEmpty()) {
      return new Answer(400, Map.of("error", "no-machine"));
    }
    int machine = member.get().number();
    int wave = call.path("wave").asInt();
    long token = Long.parseLong(exchange.header("Fencing-Token"));
    int runs = member.get().activeRuns();
    String outcome = outcome(member.get(), wave, token, busy);
    int cap = wave(wave).map(MachineFaults.Wave::cap).orElse(0);
    journal.add(
        new MachineCall(
            machine,
            wave,
            exchange.header("Duty-Holder"),
            token,
            outcome,
            outcome.equals("begun") ? runs : 0,
            away(wave),
            cap,
            clock.getAsLong()));
    boolean done = outcome.equals("begun") || outcome.equals("again");
    return done ? new Answer(200, Map.of()) : new Answer(409, Map.of("reason", outcome));
  }

  private String outcome(FleetMember member, int wave, long token, boolean busy) {
    int machine = member.number();
    if (token < tokens.getOrDefault(machine, Long.MIN_VALUE)) {
      return "fence";
    }
    tokens.put(machine, token);
    Set<Integer> begunOfWave = begun.computeIfAbsent(wave, number -> new HashSet<>());
    if (begunOfWave.contains(machine)) {
      return "again";
    }
    if (wave(wave).filter(asked -> asked.machines().contains(machine)).isEmpty()) {
      return "wave";
    }
    if (busy || !member.up()) {
      return "busy";
    }
    begunOfWave.add(machine);
    member.goAway();
    if (!faults.neverBack().contains(machine)) {
      group.next().schedule(member::comeBack, MAINTENANCE_MILLIS, TimeUnit.MILLISECONDS);
    }
    return "begun";
  }

  private Optional<MachineFaults.Wave> wave(int number) {
    return Optional.ofNullable(byNumber(faults).get(number));
  }

  private int away(int wave) {
    return wave(wave)
        .map(
            asked ->
                (int)
                    members.stream()
                        .filter(member -> asked.machines().contains(member.number()))
                        .filter(member -> !member.up())
                        .count())
        .orElse(0);
  }
}
