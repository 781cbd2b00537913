package org.fescuehook.standins.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.StandInServer;

/**
 * The network between VMs and executors. All of them share one host, so each executor listens on a
 * port of its own for each VM, and each VM reads the store at an address where the entries of the
 * executors, and the records of VMs that name executors, have the ports for this VM.
 */
public final class ExecutorLinks extends StandIn<LinkFaults> {

  /** A cut fills this queue; a VM opens fewer connections to an executor at the same time. */
  private static final int BACKLOG = 8;

  private static final Pattern ADDRESS = Pattern.compile("\\d+(?:\\.\\d+){3}:\\d{5}(?!\\d)");

  private final List<Link> links = new ArrayList<>();
  private final List<InetSocketAddress> stores = new ArrayList<>();

  /** For each executor its own address, and then the one for each VM. */
  private final List<List<String>> addresses = new ArrayList<>();

  private record Link(int vm, int executor, StandInServer server) {}

  /**
   * Starts the ports of all executors and the addresses of the store for a number of VMs.
   *
   * @param address where to listen; its port is 0
   */
  public ExecutorLinks(InetSocketAddress address, int vms, StoreStandIn store, FleetStandIn fleet)
      throws StandInException {
    super("links", LinkFaults.class);
    for (FleetMember member : fleet.members()) {
      List<String> all = new ArrayList<>();
      all.add(text(member.server().address()));
      for (int vm = 0; vm < vms; vm++) {
        StandInServer server = member.addLink(address, BACKLOG);
        links.add(new Link(vm, member.number(), server));
        all.add(text(server.address()));
      }
      addresses.add(List.copyOf(all));
    }
    for (int vm = 0; vm < vms; vm++) {
      stores.add(store.addView(address, view(vm)));
    }
  }

  /** Returns the address of the store for each VM. */
  public List<InetSocketAddress> stores() {
    return List.copyOf(stores);
  }

  @Override
  public void apply(LinkFaults faults) {
    links.forEach(link -> link.server.lose(faults.lossPercent(link.vm, link.executor)));
  }

  /** Returns how many connections VMs have open to executors. */
  @Override
  public Object stats() {
    return links.stream().mapToInt(link -> link.server.openConnections()).sum();
  }

  @Override
  protected List<StandInServer> servers() {
    return links.stream().map(Link::server).toList();
  }

  /** Returns an address as the entries of the executors have it. */
  static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /**
   * Returns the view of a VM, which replaces the addresses of executors in records by those for
   * this VM. Records may be binary, so an address is replaced only by one of the same length.
   */
  private UnaryOperator<byte[]> view(int vm) {
    Map<String, String> shown = new HashMap<>();
    for (List<String> ofExecutor : addresses) {
      String forVm = ofExecutor.get(vm + 1);
      ofExecutor.stream()
          .filter(other -> other.length() == forVm.length())
          .forEach(other -> shown.put(other, forVm));
    }
    return record -> {
      // Keeps each byte as it is, also those that are no text.
      Matcher found = ADDRESS.matcher(new String(record, StandardCharsets.ISO_8859_1));
      String replaced =
          found.replaceAll(
              match -> Matcher.quoteReplacement(shown.getOrDefault(match.group(), match.group())));
      return replaced.getBytes(StandardCharsets.ISO_8859_1);
    };
  }
}
