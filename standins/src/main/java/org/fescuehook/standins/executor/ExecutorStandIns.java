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
 * Executors named {@code executor-1} and so on, with one journal. {@code /sleep?ms=} runs for a
 * time, {@code /size?bytes=} answers so many bytes in chunks; any path answers the request's body.
 */
public final class ExecutorStandIns extends StandIn<ExecutorFaults> {
  private final Journal<RequestRun> journal;
  private final List<ExecutorStandIn> executors = new ArrayList<>();

  /**
   * What an executor takes at a time.
   *
   * @param slots requests run at a time; further ones are refused as not run
   * @param connections connections open at a time; further ones are closed at accept
   */
  public record Limits(int slots, int connections) {}

  /**
   * Counts of an executor; times are in monotonic milliseconds.
   *
   * @param faultsSince when its behaviour was last set
   * @param lastRequestAt when the last request arrived, refused or not
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
   * Starts executors.
   *
   * @param first address of the first; the others follow on the next ports, or on any if it is 0
   * @param clock gives monotonic milliseconds
   * @param journalLimit how many runs are kept in the journal
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

  /** Returns where each executor listens, by name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    executors.forEach(e -> addresses.put(e.name(), e.server().address()));
    return addresses;
  }

  /** Changes the behaviour of those that the faults name. */
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
