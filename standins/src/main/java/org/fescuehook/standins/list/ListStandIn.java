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

/** Stand-in for the platform's list of VMs, which returns the members as of a set time ago. */
public final class ListStandIn extends StandIn<ListFaults> {
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final LongSupplier clock;
  private final StandInServer server;
  private final TreeMap<Long, List<Member>> versions = new TreeMap<>();
  private ListFaults faults = ListFaults.put(0);
  private long reads;

  /** Counters of the list. */
  public record Stats(long reads, int members) {}

  /** Response to a read; {@code asOf} is the wall-clock time of the members, in milliseconds. */
  private record MembersResponse(long asOf, List<Member> members) {}

  /**
   * Starts the list.
   *
   * @param clock returns wall-clock milliseconds
   * @param members initial members, listed since time 0 so that a lag never hides them
   */
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

  /** Returns the address on which the list listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Replaces the faults and records a new version of the list with the changes. */
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
      exchange.reply(200, new MembersResponse(asOf, versions.floorEntry(asOf).getValue()));
    }
  }
}
