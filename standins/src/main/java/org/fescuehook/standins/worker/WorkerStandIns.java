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

/** Workers named {@code worker-1} and so on, with one journal. */
public final class WorkerStandIns extends StandIn<WorkerFaults> {
  private static final long TICK_MILLIS = 10;

  private final Journal<WorkerEvent> journal;
  private final int accelerators;
  private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
  private final Future<?> ticker;

  /**
   * The workers to start.
   *
   * @param first number in the name of the first
   * @param each resources of each worker
   * @param usageLagMillis how old a reported usage can be
   */
  public record Fleet(int first, int count, Resources each, long usageLagMillis) {}

  /**
   * Counts of the workers.
   *
   * @param heldBack calls that wait for a frozen worker
   * @param events what is still in the journal
   */
  public record Stats(
      int workers, int leases, int heldBack, Map<WorkerEvent.Kind, Integer> events, long dropped) {}

  /**
   * Starts workers.
   *
   * @param first address of the first; the others follow on the next ports, or on any if it is 0
   * @param clock gives monotonic milliseconds
   * @param journalLimit how many events are kept in the journal
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
      LeaseBook book = new LeaseBook(name, incarnation, fleet.each(), journal::add);
      long lag = fleet.usageLagMillis();
      workers.put(name, new WorkerStandIn(group, address, book, fleet.each(), lag, clock));
    }
    Runnable tick = () -> workers.values().forEach(WorkerStandIn::tick);
    this.ticker =
        group.next().scheduleAtFixedRate(tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns where each worker listens, by name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    workers.forEach((name, worker) -> addresses.put(name, worker.server().address()));
    return addresses;
  }

  /** Returns what went wrong, given how long a gang may run in part. */
  public List<GangAudit.Finding> audit(long maxPartialMillis) {
    return GangAudit.check(journal(), accelerators, maxPartialMillis);
  }

  /** Replaces the faults of those that they name. */
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
    ticker.cancel(false);
    super.close();
  }

  @Override
  protected List<StandInServer> servers() {
    return workers.values().stream().map(WorkerStandIn::server).toList();
  }
}
