package org.fescuehook.logic.preferences;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Durations;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.Sizes;
import org.fescuehook.logic.ini.ValueType;
import org.fescuehook.logic.ini.Values;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.model.preferences.RequestPreferences;

/**
 * Defines all keys of the settings of an entry VM. The parser and the documentation both use these
 * definitions.
 */
final class SettingKeys {

  static final Key<VmId> VM =
      Key.required(
          "identity",
          "vm",
          Values.name(VmId::new),
          "entry-1",
          "Name of this VM, as in the list of VMs.");
  static final Key<FailureDomain> FAILURE_DOMAIN =
      Key.required(
          "identity",
          "failure-domain",
          Values.name(FailureDomain::new),
          "domain-a",
          "Failure domain that this VM stands in.");

  static final Key<InetSocketAddress> SERVICE =
      listening(
          "service", "0.0.0.0:7000", "Where callers connect. Port 0 lets the system choose one.");
  static final Key<InetSocketAddress> PEER =
      listening(
          "peer",
          "0.0.0.0:7001",
          "Where other entry VMs connect. Port 0 lets the system choose one.");
  static final Key<InetSocketAddress> OPERATOR =
      listening(
          "operator",
          "127.0.0.1:7002",
          "Where operators connect; loopback unless operator-token is set.");
  static final Key<Optional<String>> OPERATOR_TOKEN =
      Key.optional(
          "addresses",
          "operator-token",
          Values.secret(),
          Optional.empty(),
          "Bearer token that operators have to present.");
  static final Key<InetSocketAddress> LOG =
      remote("log", "10.0.0.10:7100", "The platform's log service.");
  static final Key<InetSocketAddress> LIST =
      remote("list", "10.0.0.10:7101", "The platform's list of VMs.");

  static final Key<Duration> OWNER_HEARTBEAT =
      control(
          "owner-heartbeat",
          ControlPreferences.DEFAULT.ownerHeartbeat(),
          "Interval between the owner's heartbeat records.");
  static final Key<Duration> OWNER_TIMEOUT =
      control(
          "owner-timeout",
          ControlPreferences.DEFAULT.ownerTimeout(),
          "Silence of the owner after which a stand-by claims; above two owner-heartbeat.");
  static final Key<Duration> CLAIM_STAGGER =
      control(
          "claim-stagger",
          ControlPreferences.DEFAULT.claimStagger(),
          "Added to owner-timeout for each rank of the stand-by.");
  static final Key<Duration> LEASE_TTL =
      control(
          "lease-ttl",
          ControlPreferences.DEFAULT.leaseTtl(),
          "Time for which a worker's lease is asked and renewed; above three renew-interval.");
  static final Key<Duration> RENEW_INTERVAL =
      control(
          "renew-interval",
          ControlPreferences.DEFAULT.renewInterval(),
          "Interval between renewals of a lease.");
  static final Key<Duration> GRANT_TIMEOUT =
      control(
          "grant-timeout",
          ControlPreferences.DEFAULT.grantTimeout(),
          "Time after which a planned attempt without all its leases is ended; below lease-ttl.");
  static final Key<Duration> SNAPSHOT_INTERVAL =
      control(
          "snapshot-interval",
          ControlPreferences.DEFAULT.snapshotInterval(),
          "Interval between snapshots of the control stream; well below the log's retention.");
  static final Key<Duration> TICK =
      control(
          "tick",
          ControlPreferences.DEFAULT.tick(),
          "Interval between ticks of the decision thread; at most owner-heartbeat.");

  static final Key<Duration> DEFAULT_TIMEOUT =
      request(
          "default-timeout",
          RequestPreferences.DEFAULT.defaultTimeout(),
          "Deadline of a request that names none; at most max-timeout.");
  static final Key<Duration> MAX_TIMEOUT =
      request(
          "max-timeout",
          RequestPreferences.DEFAULT.maxTimeout(),
          "Longest deadline that a request may name.");
  static final Key<Long> MAX_BODY =
      size(
          "max-body",
          64 << 20,
          RequestPreferences.DEFAULT.maxBodyBytes(),
          "Largest body of a request.");
  static final Key<Long> MAX_HEADER =
      size(
          "max-header",
          1 << 20,
          RequestPreferences.DEFAULT.maxHeaderBytes(),
          "Largest sum of the headers of a request.");
  static final Key<Integer> MAX_CALLER_CONNECTIONS =
      count(
          "max-caller-connections",
          RequestPreferences.DEFAULT.maxCallerConnections(),
          "Most connections of callers at once.");
  static final Key<Integer> QUEUE_LENGTH =
      count(
          "queue-length",
          RequestPreferences.DEFAULT.queueLength(),
          "Most requests waiting for a slot, for each urgency class.");
  static final Key<Double> RETRY_BUDGET =
      Key.optional(
          "requests",
          "retry-budget",
          Values.decimal(0, 1),
          RequestPreferences.DEFAULT.retryBudget(),
          "Retries as a share of the requests of the last 10 s.");
  static final Key<Integer> MAX_TRIES =
      Key.optional(
          "requests",
          "max-tries",
          Values.count(1, 10),
          RequestPreferences.DEFAULT.maxTries(),
          "Most dispatches of one repeatable request.");
  static final Key<Duration> HEADER_TIMEOUT =
      request(
          "header-timeout",
          RequestPreferences.DEFAULT.headerTimeout(),
          "Longest time for a caller to send a whole head and body.");
  static final Key<Duration> IDLE_TIMEOUT =
      request(
          "idle-timeout",
          RequestPreferences.DEFAULT.idleTimeout(),
          "Time after which a caller's idle connection is closed.");
  static final Key<Duration> PROBE_INTERVAL =
      request(
          "probe-interval",
          RequestPreferences.DEFAULT.probeInterval(),
          "Interval between probes of an idle connection to an executor.");
  static final Key<Duration> CLAIM_WINDOW =
      request(
          "claim-window",
          RequestPreferences.DEFAULT.claimWindow(),
          "Time for which the outcome of a request id is kept; above max-timeout.");

  static final Key<Duration> LIST_INTERVAL =
      membership(
          "list-interval",
          MembershipPreferences.DEFAULT.listInterval(),
          "Interval between fetches of the list of VMs.");
  static final Key<Duration> PEER_HEARTBEAT =
      membership(
          "peer-heartbeat",
          MembershipPreferences.DEFAULT.peerHeartbeat(),
          "Interval between heartbeats to each peer.");
  static final Key<Duration> PEER_TIMEOUT =
      membership(
          "peer-timeout",
          MembershipPreferences.DEFAULT.peerTimeout(),
          "Silence after which a peer counts as gone; above two peer-heartbeat.");
  static final Key<Duration> STALE_AFTER =
      membership(
          "stale-after",
          MembershipPreferences.DEFAULT.staleAfter(),
          "Time without contact to the log and without a peer that has it, after which this VM is"
              + " not ready; above peer-timeout.");
  static final Key<Duration> DRAIN_DELAY =
      Key.optional(
          "membership",
          "drain-delay",
          Durations.from(Duration.ZERO),
          MembershipPreferences.DEFAULT.drainDelay(),
          "Time between turning unready and closing the service port, for the balancer to notice.");
  static final Key<Duration> DRAIN_LIMIT =
      membership(
          "drain-limit",
          MembershipPreferences.DEFAULT.drainLimit(),
          "Longest time for answering what is in flight at a stop; at least default-timeout.");

  /** All keys in the order in which they are documented. */
  static final List<Key<?>> ALL =
      List.of(
          VM,
          FAILURE_DOMAIN,
          SERVICE,
          PEER,
          OPERATOR,
          OPERATOR_TOKEN,
          LOG,
          LIST,
          OWNER_HEARTBEAT,
          OWNER_TIMEOUT,
          CLAIM_STAGGER,
          LEASE_TTL,
          RENEW_INTERVAL,
          GRANT_TIMEOUT,
          SNAPSHOT_INTERVAL,
          TICK,
          DEFAULT_TIMEOUT,
          MAX_TIMEOUT,
          MAX_BODY,
          MAX_HEADER,
          MAX_CALLER_CONNECTIONS,
          QUEUE_LENGTH,
          RETRY_BUDGET,
          MAX_TRIES,
          HEADER_TIMEOUT,
          IDLE_TIMEOUT,
          PROBE_INTERVAL,
          CLAIM_WINDOW,
          LIST_INTERVAL,
          PEER_HEARTBEAT,
          PEER_TIMEOUT,
          STALE_AFTER,
          DRAIN_DELAY,
          DRAIN_LIMIT);

  private static final int MAX_COUNT = 1_000_000;

  private SettingKeys() {}

  private static Key<InetSocketAddress> listening(String name, String example, String meaning) {
    return Key.required("addresses", name, Addresses.fromPort(0), example, meaning);
  }

  private static Key<InetSocketAddress> remote(String name, String example, String meaning) {
    return Key.required("addresses", name, Addresses.fromPort(1), example, meaning);
  }

  private static Key<Duration> control(String name, Duration fallback, String meaning) {
    return Key.optional("control", name, positive(), fallback, meaning);
  }

  private static Key<Duration> request(String name, Duration fallback, String meaning) {
    return Key.optional("requests", name, positive(), fallback, meaning);
  }

  private static Key<Duration> membership(String name, Duration fallback, String meaning) {
    return Key.optional("membership", name, positive(), fallback, meaning);
  }

  private static Key<Long> size(String name, long maxBytes, long fallback, String meaning) {
    return Key.optional("requests", name, Sizes.between(1024, maxBytes, 1), fallback, meaning);
  }

  private static Key<Integer> count(String name, int fallback, String meaning) {
    return Key.optional("requests", name, Values.count(1, MAX_COUNT), fallback, meaning);
  }

  private static ValueType<Duration> positive() {
    return Durations.from(Duration.ofMillis(1));
  }
}
