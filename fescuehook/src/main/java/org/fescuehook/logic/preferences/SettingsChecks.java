package org.fescuehook.logic.preferences;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Durations;
import org.fescuehook.logic.ini.Key;

/**
 * Checks that settings are consistent with each other and that this machine can listen on the
 * configured addresses.
 */
final class SettingsChecks {

  private static final List<Key<InetSocketAddress>> LISTENING_ADDRESSES =
      List.of(SettingKeys.SERVICE, SettingKeys.PEER, SettingKeys.OPERATOR);

  private final SettingsValues values;
  private final PortProbe probe;

  SettingsChecks(SettingsValues values, PortProbe probe) {
    this.values = values;
    this.probe = probe;
  }

  /** Adds a fault for each violated constraint to the values. */
  void check() {
    checkDurations();
    checkPortsDiffer();
    checkOperatorGuarded();
    checkPortsFree();
  }

  private void checkDurations() {
    requireAbove(SettingKeys.LEASE_TTL, 3, SettingKeys.RENEW_INTERVAL);
    requireAbove(SettingKeys.OWNER_TIMEOUT, 2, SettingKeys.OWNER_HEARTBEAT);
    requireAbove(SettingKeys.PEER_TIMEOUT, 2, SettingKeys.PEER_HEARTBEAT);
    requireAbove(SettingKeys.LEASE_TTL, 1, SettingKeys.GRANT_TIMEOUT);
    requireAbove(SettingKeys.SNAPSHOT_INTERVAL, 1, SettingKeys.OWNER_TIMEOUT);
    requireAbove(SettingKeys.STALE_AFTER, 1, SettingKeys.PEER_TIMEOUT);
    requireAbove(SettingKeys.CLAIM_WINDOW, 1, SettingKeys.MAX_TIMEOUT);
    requireAtMost(SettingKeys.TICK, SettingKeys.OWNER_HEARTBEAT);
    requireAtMost(SettingKeys.DEFAULT_TIMEOUT, SettingKeys.MAX_TIMEOUT);
    requireAtMost(SettingKeys.DEFAULT_TIMEOUT, SettingKeys.DRAIN_LIMIT);
  }

  private void requireAbove(Key<Duration> key, int factor, Key<Duration> other) {
    Optional<Duration> value = values.find(key);
    Optional<Duration> bound = values.find(other).map(duration -> duration.multipliedBy(factor));
    if (value.isEmpty() || bound.isEmpty() || value.get().compareTo(bound.get()) > 0) {
      return;
    }
    String times = factor == 1 ? "" : factor + " times ";
    String problem =
        "%sis not above %s%s.%s (%s)"
            .formatted(
                defaultPrefix(key),
                times,
                other.section(),
                other.name(),
                Durations.format(values.get(other)));
    values.fault(key, problem, "a duration above " + Durations.format(bound.get()));
  }

  private void requireAtMost(Key<Duration> key, Key<Duration> other) {
    Optional<Duration> value = values.find(key);
    Optional<Duration> bound = values.find(other);
    if (value.isEmpty() || bound.isEmpty() || value.get().compareTo(bound.get()) <= 0) {
      return;
    }
    String most = Durations.format(bound.get());
    String problem =
        "%sis above %s.%s (%s)".formatted(defaultPrefix(key), other.section(), other.name(), most);
    values.fault(key, problem, "a duration of at most " + most);
  }

  /**
   * Returns a prefix that names the default of a key that is not set. Messages show the value of a
   * key only if it is set.
   */
  private String defaultPrefix(Key<Duration> key) {
    return values.isSet(key) ? "" : "its default " + Durations.format(values.get(key)) + " ";
  }

  private void checkPortsDiffer() {
    for (int i = 0; i < LISTENING_ADDRESSES.size(); i++) {
      for (int j = i + 1; j < LISTENING_ADDRESSES.size(); j++) {
        Optional<InetSocketAddress> first = values.find(LISTENING_ADDRESSES.get(i));
        Optional<InetSocketAddress> second = values.find(LISTENING_ADDRESSES.get(j));
        if (first.isPresent() && second.isPresent() && overlap(first.get(), second.get())) {
          String problem = "is the same port as " + LISTENING_ADDRESSES.get(i).name();
          values.fault(LISTENING_ADDRESSES.get(j), problem, "a port of its own");
        }
      }
    }
  }

  private static boolean overlap(InetSocketAddress first, InetSocketAddress second) {
    boolean anyHost =
        first.getAddress().isAnyLocalAddress() || second.getAddress().isAnyLocalAddress();
    return first.getPort() != 0
        && first.getPort() == second.getPort()
        && (anyHost || first.getAddress().equals(second.getAddress()));
  }

  private void checkOperatorGuarded() {
    Optional<InetSocketAddress> operator = values.find(SettingKeys.OPERATOR);
    Optional<Optional<String>> token = values.find(SettingKeys.OPERATOR_TOKEN);
    if (operator.isEmpty() || token.isEmpty() || token.get().isPresent()) {
      return;
    }
    if (!operator.get().getAddress().isLoopbackAddress()) {
      values.fault(
          SettingKeys.OPERATOR,
          "is not loopback, and no operator-token is set",
          "a loopback address, as 127.0.0.1:7002, or an operator-token");
    }
  }

  private void checkPortsFree() {
    for (Key<InetSocketAddress> key : LISTENING_ADDRESSES) {
      values.find(key).ifPresent(address -> checkPortFree(key, address));
    }
  }

  private void checkPortFree(Key<InetSocketAddress> key, InetSocketAddress address) {
    probe
        .problem(address)
        .ifPresent(
            problem ->
                values.fault(
                    key,
                    "cannot listen on " + Addresses.format(address) + ": " + problem,
                    "an address of this VM with a free port"));
  }
}
