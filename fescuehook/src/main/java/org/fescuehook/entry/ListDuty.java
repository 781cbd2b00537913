package org.fescuehook.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.logic.platform.MemberList.Member;
import org.fescuehook.logic.platform.MemberList.Role;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.net.caller.RequestPath;
import org.fescuehook.net.peer.PeerLinks;
import org.fescuehook.net.platform.PlatformEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty of the thread {@code list}: fetches the list of VMs and backend servers and publishes it
 * to the components that need it.
 */
final class ListDuty {

  private static final Logger LOGGER = LoggerFactory.getLogger(ListDuty.class);

  private final MemberList list;
  private final VmId self;
  private final DecisionRing decisions;
  private final RequestPath requests;
  private final PeerLinks links;
  private final MeterRegistry meters;
  private final Duration interval;
  private boolean failing;
  private volatile List<String> leaving = List.of();

  ListDuty(
      MemberList list,
      VmId self,
      DecisionRing decisions,
      RequestPath requests,
      PeerLinks links,
      MeterRegistry meters,
      Duration interval) {
    this.list = list;
    this.self = self;
    this.decisions = decisions;
    this.requests = requests;
    this.links = links;
    this.meters = meters;
    this.interval = interval;
  }

  /** Fetches the list once and returns the delay before the next fetch. */
  Duration step() {
    List<Member> members;
    try {
      members = list.fetch();
    } catch (MemberList.ListUnavailableException e) {
      failed(e);
      return interval;
    }
    if (failing) {
      EventLog.info(LOGGER, PlatformEvent.LIST_REACHABLE);
    }
    failing = false;
    publish(members);
    return interval;
  }

  /** Returns the names of the backend servers that the list shows as leaving. */
  List<String> leaving() {
    return leaving;
  }

  private void failed(MemberList.ListUnavailableException cause) {
    meters.counter("fescuehook.list.failed").increment();
    if (!failing) {
      EventLog.warn(LOGGER, PlatformEvent.LIST_UNREACHABLE, cause.getMessage());
    }
    failing = true;
  }

  private void publish(List<Member> members) {
    decisions.publish(new ControlEvent.MembersListed(List.copyOf(members)));
    requests.executorsLeaving(leavingExecutors(members));
    links.retain(peers(members));
    leaving =
        members.stream()
            .filter(member -> member.leaving() && member.role() != Role.ENTRY)
            .map(Member::name)
            .sorted()
            .toList();
  }

  private static Set<ExecutorId> leavingExecutors(List<Member> members) {
    return members.stream()
        .filter(member -> member.leaving() && member.role() == Role.EXECUTOR)
        .map(member -> new ExecutorId(member.name()))
        .collect(Collectors.toUnmodifiableSet());
  }

  private Map<VmId, InetSocketAddress> peers(List<Member> members) {
    Map<VmId, InetSocketAddress> peers = new HashMap<>();
    for (Member member : members) {
      if (member.role() != Role.ENTRY || member.name().equals(self.value())) {
        continue;
      }
      address(member).ifPresent(address -> peers.put(new VmId(member.name()), address));
    }
    return peers;
  }

  private Optional<InetSocketAddress> address(Member member) {
    InetAddress host = NetUtil.createInetAddressFromIpAddressString(member.host());
    if (host == null) {
      meters.counter("fescuehook.list.without.address").increment();
      EventLog.warn(LOGGER, PlatformEvent.MEMBER_WITHOUT_ADDRESS, member.name(), member.host());
      return Optional.empty();
    }
    return Optional.of(new InetSocketAddress(host, member.port()));
  }
}
