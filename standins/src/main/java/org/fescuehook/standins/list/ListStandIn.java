package org.fescuehook.standins.list;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;

/** A list of VMs that answers what was true a declared time ago. */
public final class ListStandIn extends StandIn<ListFaults> {
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final LongSupplier clock;
  private final StandInServer server;
  private final TreeMap<Long, List<Member>> versions = new TreeMap<>();
  private ListFaults faults = ListFaults.put(0);
  private long reads;

  /** Counts of the list. */
  public record Stats(long reads, int members) {}

  private record Answer(long asOf, List<Member> members) {}

  /** Starts the list; the clock gives wall-clock milliseconds, the members count as long known. */
  public ListStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      LongSupplier clock,
      Collection<Member> members)
      throws StandInException {
    super("list", ListFaults.class);
    this.clock = clock;
    this.versions.put(0L, List.copyOf(members));
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_BODY_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public synchronized void apply(ListFaults next) {
    faults = next;
    Map<String, Member> members = new LinkedHashMap<>();
    versions.lastEntry().getValue().forEach(m -> members.put(m.name(), m));
    next.put().forEach(m -> members.put(m.name(), m));
    next.remove().forEach(members::remove);
    versions.put(clock.getAsLong(), List.copyOf(members.values()));
  }

  @Override
  public synchronized Stats stats() {
    return new Stats(reads, versions.lastEntry().getValue().size());
  }

  @Override
  protected List<StandInServer> servers() {
    return List.of(server);
  }

  private synchronized void handle(Exchange exchange) {
    if (!exchange.call().equals("GET /members")) {
      exchange.error(404, "not-found", exchange.call());
      return;
    }
    reads++;
    if (faults.refusing()) {
      exchange.error(503, "outage", "the list is down");
      return;
    }
    if (!faults.silent()) {
      long asOf = clock.getAsLong() - faults.lagMs();
      exchange.reply(200, new Answer(asOf, versions.floorEntry(asOf).getValue()));
    }
  }
}
