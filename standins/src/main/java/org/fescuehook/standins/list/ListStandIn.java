package org.fescuehook.standins.list;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.Outage;
import org.fescuehook.standins.http.ServerLimits;
import org.fescuehook.standins.http.StandInServer;

/** A list of VMs that answers what was true a declared time ago. */
public final class ListStandIn implements StandIn {
  private final Clock clock;
  private final StandInServer server;
  private final TreeMap<Long, List<Member>> versions = new TreeMap<>();
  private ListFaults faults = ListFaults.lag(0);
  private long reads;

  /** Counts of the list. */
  public record Stats(long reads, int members) {}

  private record Answer(long asOf, List<Member> members) {}

  /** Starts the list; the members given count as long known. */
  public ListStandIn(
      EventLoopGroup group, InetSocketAddress address, Clock clock, Collection<Member> members)
      throws StandInException {
    this.clock = clock;
    this.versions.put(0L, List.copyOf(members));
    this.server = new StandInServer(group, address, ServerLimits.unlimited(), this::handle);
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Replaces the faults in force and makes the changes to the list. */
  public synchronized void apply(ListFaults next) {
    faults = next;
    if (next.put().isEmpty() && next.remove().isEmpty()) {
      return;
    }
    Map<String, Member> members = new LinkedHashMap<>();
    versions.lastEntry().getValue().forEach(m -> members.put(m.name(), m));
    next.put().forEach(m -> members.put(m.name(), m));
    next.remove().forEach(members::remove);
    versions.put(clock.millis(), List.copyOf(members.values()));
  }

  @Override
  public String target() {
    return "list";
  }

  @Override
  public void apply(JsonNode tree) throws JsonProcessingException {
    apply(Json.convert(tree, ListFaults.class));
  }

  @Override
  public List<?> journal() {
    return List.of();
  }

  @Override
  public synchronized Stats stats() {
    return new Stats(reads, versions.lastEntry().getValue().size());
  }

  @Override
  public void silenceOpenConnections() {
    server.silenceOpenConnections();
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized void handle(Exchange exchange) {
    if (!exchange.path().equals("/members") || !exchange.method().equals("GET")) {
      exchange.error(404, "not-found", exchange.path());
      return;
    }
    reads++;
    switch (faults.outage()) {
      case Outage.SILENT -> {}
      case Outage.REFUSING -> exchange.error(503, "outage", "the list is down");
      case Outage.NONE -> exchange.later(faults.delayMs(), () -> exchange.json(200, answer()));
    }
  }

  private synchronized Answer answer() {
    long asOf = clock.millis() - faults.lagMs();
    return new Answer(asOf, versions.floorEntry(asOf).getValue());
  }
}
