package org.fescuehook.standins.executor;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.MonotonicClock;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Json;

/** Executors named {@code executor-1}, {@code executor-2} and so on, with one journal. */
public final class ExecutorStandIns implements StandIn {
  private final Journal<RequestRun> journal;
  private final List<ExecutorStandIn> executors = new ArrayList<>();

  /**
   * Starts executors.
   *
   * @param first address of the first; the others follow on the next ports, or on any if it is 0
   * @param journalLimit how many runs are kept in the journal
   */
  public ExecutorStandIns(
      EventLoopGroup group,
      InetSocketAddress first,
      int count,
      ExecutorLimits limits,
      MonotonicClock clock,
      int journalLimit)
      throws StandInException {
    this.journal = new Journal<>(journalLimit);
    for (int i = 0; i < count; i++) {
      int port = first.getPort() == 0 ? 0 : first.getPort() + i;
      InetSocketAddress address = new InetSocketAddress(first.getAddress(), port);
      String name = "executor-" + (i + 1);
      executors.add(new ExecutorStandIn(group, address, name, limits, clock, journal));
    }
  }

  /** Returns where each executor listens, by name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    executors.forEach(e -> addresses.put(e.name(), e.address()));
    return addresses;
  }

  /** Changes the behaviour of those that the faults name. */
  public void apply(ExecutorFaults faults) {
    executors.stream()
        .filter(e -> faults.concerns(e.name()))
        .forEach(e -> e.apply(faults.behaviour()));
  }

  @Override
  public String target() {
    return "executors";
  }

  @Override
  public void apply(JsonNode tree) throws JsonProcessingException {
    apply(Json.convert(tree, ExecutorFaults.class));
  }

  @Override
  public List<RequestRun> journal() {
    return journal.entries();
  }

  @Override
  public Map<String, ExecutorStats> stats() {
    Map<String, ExecutorStats> stats = new LinkedHashMap<>();
    executors.forEach(e -> stats.put(e.name(), e.stats()));
    return stats;
  }

  @Override
  public void silenceOpenConnections() {
    executors.forEach(ExecutorStandIn::silenceOpenConnections);
  }

  @Override
  public void close() {
    executors.forEach(ExecutorStandIn::close);
  }
}
