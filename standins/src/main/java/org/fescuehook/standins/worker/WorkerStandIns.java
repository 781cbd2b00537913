package org.fescuehook.standins.worker;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.StandInServer;

/** Workers named {@code worker-1}, {@code worker-2} and so on, which share a journal. */
public final class WorkerStandIns extends StandIn<WorkerFaults> {
  private static final long EXPIRY_INTERVAL_MILLIS = 10;

  private final Journal<WorkerEvent> journal;
  private final int accelerators;
  private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
  private final Future<?> expiryTimer;

  /**
   * Number and size of the workers to start.
   *
   * @param first number in the name of the first worker
   * @param each resources of each worker
   * @param usageLagMillis maximum age of a reported usage, in milliseconds
   */
  public record Fleet(int first, int count, Resources each, long usageLagMillis) {}

  /**
   * Counters of the workers.
   *
   * @param heldBack number of requests that wait for a frozen worker
   * @param events number of events in the journal, by kind
   * @param dropped number of events that were dropped from the journal
   */
  public record Stats(
      int workers, int leases, int heldBack, Map<WorkerEvent.Kind, Integer> events, long dropped) {}

  /**
   * Starts the workers.
   *
   * @param first address of the first worker; the others use the ports after it, or any free ports
   *     if its port is 0
   * @param clock returns monotonic milliseconds
   * @param journalLimit maximum number of events in the journal
   */
  public WorkerStandIns(
      EventLoopGroup group,
      InetSocketAddress first,
      Fleet fleet,
      LongSupplier clock,
      int journalLimit)
      throws StandInException {
    super("workers", WorkerFaults.class);
    this.journal = new Journal<>(journalLimit);
    this.accelerators = fleet.each().accelerators();
    String incarnation = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    for (int i = 0; i < fleet.count(); i++) {
      int port = first.getPort() == 0 ? 0 : first.getPort() + i;
      var address = new InetSocketAddress(first.getAddress(), port);
      String name = "worker-" + (fleet.first() + i);
      LeaseRegistry registry = new LeaseRegistry(name, incarnation, fleet.each(), journal::add);
      long lag = fleet.usageLagMillis();
      workers.put(name, new WorkerStandIn(group, address, registry, fleet.each(), lag, clock));
    }
    Runnable expireAll = () -> workers.values().forEach(WorkerStandIn::expire);
    this.expiryTimer =
        group
            .next()
            .scheduleAtFixedRate(
                expireAll, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the address of each worker by its name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    workers.forEach((name, worker) -> addresses.put(name, worker.server().address()));
    return addresses;
  }

  /** Returns the violations in the journal; a part of a gang may run alone for the given time. */
  public List<GangAudit.Finding> audit(long maxPartialMillis) {
    return GangAudit.check(journal(), accelerators, maxPartialMillis);
  }

  /** Replaces the faults of the workers that the new ones concern. */
  @Override
  public void apply(WorkerFaults faults) {
    workers.forEach(
        (name, worker) -> {
          if (faults.concerns(name)) {
            worker.apply(faults);
          }
        });
  }

  @Override
  public List<WorkerEvent> journal() {
    return journal.entries();
  }

  @Override
  public Stats stats() {
    Map<WorkerEvent.Kind, Integer> events = new EnumMap<>(WorkerEvent.Kind.class);
    journal().forEach(e -> events.merge(e.kind(), 1, Integer::sum));
    int leases = workers.values().stream().mapToInt(WorkerStandIn::leases).sum();
    int heldBack = workers.values().stream().mapToInt(WorkerStandIn::heldBack).sum();
    return new Stats(workers.size(), leases, heldBack, events, journal.dropped());
  }

  @Override
  public void close() {
    expiryTimer.cancel(false);
    super.close();
  }

  @Override
  protected List<StandInServer> servers() {
    return workers.values().stream().map(WorkerStandIn::server).toList();
  }
}
