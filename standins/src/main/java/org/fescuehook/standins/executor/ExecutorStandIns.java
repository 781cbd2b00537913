package org.fescuehook.standins.executor;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.StandInServer;

/**
 * Executors named {@code executor-1}, {@code executor-2} and so on, which share a journal. A
 * request runs for as many milliseconds as its query parameter {@code ms} says. {@code
 * /size?bytes=} returns so many bytes in chunks; any other path returns the request's body.
 */
public final class ExecutorStandIns extends StandIn<ExecutorFaults> {
  private final Journal<RequestRun> journal;
  private final List<ExecutorStandIn> executors = new ArrayList<>();

  /**
   * Concurrency limits of an executor.
   *
   * @param slots maximum number of running requests; further ones are rejected as not run
   * @param connections maximum number of open connections; further ones are closed at accept
   */
  public record Limits(int slots, int connections) {}

  /**
   * Counters of an executor; times are in monotonic milliseconds.
   *
   * @param faultsSince when the behaviour was last set
   * @param lastRequestAt when the last request arrived, whether it was rejected or not
   */
  public record Stats(
      long runs,
      long refusals,
      int running,
      int maxRunning,
      int openConnections,
      long rejectedConnections,
      long faultsSince,
      long lastRequestAt) {}

  /**
   * Starts the executors.
   *
   * @param first address of the first executor; the others use the ports after it, or any free
   *     ports if its port is 0
   * @param clock returns monotonic milliseconds
   * @param journalLimit maximum number of runs in the journal
   */
  public ExecutorStandIns(
      EventLoopGroup group,
      InetSocketAddress first,
      int count,
      Limits limits,
      LongSupplier clock,
      int journalLimit)
      throws StandInException {
    super("executors", ExecutorFaults.class);
    this.journal = new Journal<>(journalLimit);
    ExecutorFaults none = new ExecutorFaults(Set.of(), Behaviour.NORMAL, 0);
    for (int i = 0; i < count; i++) {
      int port = first.getPort() == 0 ? 0 : first.getPort() + i;
      var address = new InetSocketAddress(first.getAddress(), port);
      String name = "executor-" + (i + 1);
      executors.add(new ExecutorStandIn(group, address, name, limits, none, clock, journal));
    }
  }

  /** Returns the address of each executor by its name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    executors.forEach(e -> addresses.put(e.name(), e.server().address()));
    return addresses;
  }

  /** Changes the behaviour of the executors that the faults concern. */
  @Override
  public void apply(ExecutorFaults faults) {
    executors.stream().filter(e -> faults.concerns(e.name())).forEach(e -> e.apply(faults));
  }

  @Override
  public List<RequestRun> journal() {
    return journal.entries();
  }

  @Override
  public Map<String, Stats> stats() {
    Map<String, Stats> stats = new LinkedHashMap<>();
    executors.forEach(e -> stats.put(e.name(), e.stats()));
    return stats;
  }

  @Override
  protected List<StandInServer> servers() {
    return executors.stream().map(ExecutorStandIn::server).toList();
  }
}
