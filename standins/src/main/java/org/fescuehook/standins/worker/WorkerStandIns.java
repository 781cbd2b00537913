package org.fescuehook.standins.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.MonotonicClock;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Json;

/** Workers named by consecutive numbers, with one journal. */
public final class WorkerStandIns implements StandIn {
  private static final long TICK_MILLIS = 10;

  private final WorkerCapacity capacity;
  private final Journal<WorkerEvent> journal;
  private final List<WorkerStandIn> workers = new ArrayList<>();
  private final Future<?> ticker;

  /**
   * Counts of the workers.
   *
   * @param events how many events of each kind are in the journal
   * @param dropped how many events have left the journal
   */
  public record Stats(
      int workers, int leases, Map<WorkerEvent.Kind, Integer> events, long dropped) {}

  /**
   * Names of the workers.
   *
   * @param firstNumber number in the name of the first, as in {@code worker-1}
   */
  public record Names(int firstNumber, int count) {}

  /**
   * Starts workers.
   *
   * @param first address of the first; the others follow on the next ports, or on any if it is 0
   * @param journalLimit how many events are kept in the journal
   */
  public WorkerStandIns(
      EventLoopGroup group,
      InetSocketAddress first,
      Names names,
      WorkerCapacity capacity,
      MonotonicClock clock,
      int journalLimit)
      throws StandInException {
    this.capacity = capacity;
    this.journal = new Journal<>(journalLimit);
    String incarnation = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    for (int i = 0; i < names.count(); i++) {
      int port = first.getPort() == 0 ? 0 : first.getPort() + i;
      workers.add(
          new WorkerStandIn(
              group,
              new InetSocketAddress(first.getAddress(), port),
              "worker-" + (names.firstNumber() + i),
              incarnation,
              capacity,
              clock,
              journal::add));
    }
    this.ticker =
        group
            .next()
            .scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns where each worker listens, by name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    workers.forEach(w -> addresses.put(w.name(), w.address()));
    return addresses;
  }

  /** Replaces the faults of those that they name. */
  public void apply(WorkerFaults faults) {
    workers.stream().filter(w -> faults.concerns(w.name())).forEach(w -> w.apply(faults));
  }

  /**
   * Computes what went wrong.
   *
   * @param maxPartialMillis how long a gang may run in part
   */
  public WorkerReport report(long maxPartialMillis) {
    return WorkerReport.of(journal(), capacity.total().accelerators(), maxPartialMillis);
  }

  @Override
  public String target() {
    return "workers";
  }

  @Override
  public void apply(JsonNode tree) throws JsonProcessingException {
    apply(Json.convert(tree, WorkerFaults.class));
  }

  @Override
  public List<WorkerEvent> journal() {
    return journal.entries();
  }

  @Override
  public Stats stats() {
    Map<WorkerEvent.Kind, Integer> events = new EnumMap<>(WorkerEvent.Kind.class);
    journal().forEach(e -> events.merge(e.kind(), 1, Integer::sum));
    int leases = workers.stream().mapToInt(WorkerStandIn::leases).sum();
    return new Stats(workers.size(), leases, events, journal.dropped());
  }

  @Override
  public void silenceOpenConnections() {
    workers.forEach(WorkerStandIn::silenceOpenConnections);
  }

  @Override
  public void close() {
    ticker.cancel(false);
    workers.forEach(WorkerStandIn::close);
  }

  private void tick() {
    workers.forEach(WorkerStandIn::tick);
  }
}
