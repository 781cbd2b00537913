package org.fescuehook.logic.configuration;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Durations;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.Sizes;
import org.fescuehook.logic.ini.ValueType;
import org.fescuehook.logic.ini.Values;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Verdict;

/**
 * Defines all keys of the declarations. The parser and the documentation both use these
 * definitions.
 */
final class DeclarationKeys {

  static final String POLICY = "policy";
  static final String ORGANISATION = "organisation";
  static final String GUARANTEE = "guarantee";
  static final String RULE = "rule";
  static final String WORKER = "worker";
  static final String EXECUTOR = "executor";
  static final String WORKERS = "workers";
  static final String EXECUTORS = "executors";

  private static final int MAX_COUNT = 1_000_000;
  private static final long BYTES_PER_MEBIBYTE = 1L << 20;
  private static final long MAX_MEMORY_BYTES = 1L << 46;

  static final Key<Double> FRAGMENTATION_WEIGHT =
      Key.optional(
          POLICY,
          "fragmentation-weight",
          Values.decimal(0, 1),
          PolicyPreferences.DEFAULT.fragmentationWeight(),
          "Weight of low fragmentation against low completion time.");
  static final Key<Duration> RECLAIM_BOUND =
      bound(
          "reclaim-bound",
          PolicyPreferences.DEFAULT.reclaimBound(),
          "Longest time from a holder's demand to its guaranteed shape being free.");
  static final Key<Duration> CHECKPOINT_NOTICE =
      bound(
          "checkpoint-notice",
          PolicyPreferences.DEFAULT.checkpointNotice(),
          "Time that a borrower has for its checkpoint before it is stopped; below reclaim-bound.");
  static final Key<Duration> URGENT_START_BOUND =
      bound(
          "urgent-start-bound",
          PolicyPreferences.DEFAULT.urgentStartBound(),
          "Longest time from submission to start of an urgent job; below max-wait.");
  static final Key<Duration> MAX_WAIT =
      bound(
          "max-wait",
          PolicyPreferences.DEFAULT.maxWait(),
          "Wait after which a job that can run is placed before all others.");
  static final Key<Integer> MAX_ATTEMPTS =
      Key.optional(
          POLICY,
          "max-attempts",
          Values.count(1, 100),
          PolicyPreferences.DEFAULT.maxAttempts(),
          "Failed attempts after which a job is given up.");

  static final Key<Double> WEIGHT =
      Key.optional(
          ORGANISATION,
          "weight",
          Values.decimal(0.001, 1000),
          1.0,
          "Share relative to other organisations when they compete.");
  static final Key<Integer> QUOTA_ACCELERATORS =
      Key.required(
          ORGANISATION,
          "quota-accelerators",
          Values.count(0, MAX_COUNT),
          "64",
          "Most accelerators in use at once, guaranteed and borrowed.");
  static final Key<Integer> REQUEST_SHARE =
      Key.required(
          ORGANISATION,
          "request-share",
          Values.count(0, MAX_COUNT),
          "100",
          "Most short requests in flight at one entry VM.");

  static final Key<OrganisationId> HOLDER =
      Key.required(
          GUARANTEE,
          "organisation",
          Values.name(OrganisationId::new),
          "surveys",
          "Organisation that holds it.");
  static final Key<Integer> MEMBERS =
      Key.required(
          GUARANTEE,
          "members",
          Values.count(1, Shape.MAX_MEMBERS),
          "2",
          "Members of the shape; each stands on one worker.");
  static final Key<Integer> MEMBER_ACCELERATORS =
      Key.required(
          GUARANTEE, "accelerators", Values.count(0, 1024), "8", "Accelerators of each member.");
  static final Key<Integer> MEMBER_CORES =
      Key.required(
          GUARANTEE, "cores", Values.count(0, 4096), "32", "Processor cores of each member.");
  static final Key<Long> MEMBER_MEMORY =
      Key.required(GUARANTEE, "memory", memory(), "64GiB", "Memory of each member.");
  static final Key<Integer> MAX_RACKS =
      Key.optional(
          GUARANTEE,
          "max-racks",
          Values.count(0, MAX_COUNT),
          0,
          "Most racks over which the members may be spread; 0 for any number.");
  static final Key<Integer> COUNT =
      Key.optional(
          GUARANTEE, "count", Values.count(1, 10_000), 1, "How many of that shape at once.");

  static final Key<List<Condition>> WHEN =
      Key.optional(
          RULE,
          "when",
          ConditionParser.TYPE,
          List.of(),
          "Conditions that all have to hold; a rule without any matches every job.");
  static final Key<Verdict> THEN =
      Key.required(
          RULE,
          "then",
          VerdictParser.TYPE,
          "admit priority=10 borrow=yes",
          "What is decided about the jobs it matches.");

  static final Key<InetSocketAddress> WORKER_ADDRESS = address(WORKER);
  static final Key<FailureDomain> WORKER_DOMAIN = domain(WORKER);
  static final Key<RackId> RACK =
      Key.required(
          WORKER,
          "rack",
          Values.name(RackId::new),
          "rack-1",
          "Its rack; accelerators of one rack are adjacent.");
  static final Key<Integer> ACCELERATORS =
      Key.required(WORKER, "accelerators", Values.count(0, 1024), "8", "Accelerators that it has.");
  static final Key<Integer> CORES =
      Key.required(WORKER, "cores", Values.count(1, 4096), "64", "Processor cores that it has.");
  static final Key<Long> MEMORY =
      Key.required(WORKER, "memory", memory(), "256GiB", "Memory that it has.");

  static final Key<InetSocketAddress> EXECUTOR_ADDRESS = address(EXECUTOR);
  static final Key<FailureDomain> EXECUTOR_DOMAIN = domain(EXECUTOR);
  static final Key<Integer> SLOTS =
      Key.required(
          EXECUTOR,
          "slots",
          Values.count(1, 4096),
          "8",
          "Requests that it runs at once, summed over all entry VMs.");
  static final Key<Integer> CONNECTIONS =
      Key.required(
          EXECUTOR,
          "connections",
          Values.count(1, MAX_COUNT),
          "64",
          "Connections that it accepts at once, summed over all entry VMs; at least slots.");

  /** All keys in the order in which they are documented. */
  static final List<Key<?>> ALL =
      List.of(
          FRAGMENTATION_WEIGHT,
          RECLAIM_BOUND,
          CHECKPOINT_NOTICE,
          URGENT_START_BOUND,
          MAX_WAIT,
          MAX_ATTEMPTS,
          WEIGHT,
          QUOTA_ACCELERATORS,
          REQUEST_SHARE,
          HOLDER,
          MEMBERS,
          MEMBER_ACCELERATORS,
          MEMBER_CORES,
          MEMBER_MEMORY,
          MAX_RACKS,
          COUNT,
          WHEN,
          THEN,
          WORKER_ADDRESS,
          WORKER_DOMAIN,
          RACK,
          ACCELERATORS,
          CORES,
          MEMORY,
          EXECUTOR_ADDRESS,
          EXECUTOR_DOMAIN,
          SLOTS,
          CONNECTIONS);

  private DeclarationKeys() {}

  /** Returns the keys that a kind of section may have. */
  static List<Key<?>> of(String section) {
    return ALL.stream().filter(key -> key.section().equals(section)).toList();
  }

  private static Key<Duration> bound(String name, Duration fallback, String meaning) {
    return Key.optional(POLICY, name, Durations.from(Duration.ofMillis(1)), fallback, meaning);
  }

  private static Key<InetSocketAddress> address(String section) {
    return Key.required(
        section, "address", Addresses.fromPort(1), "10.0.1.1:7200", "Where its HTTP port listens.");
  }

  private static Key<FailureDomain> domain(String section) {
    return Key.required(
        section,
        "failure-domain",
        Values.name(FailureDomain::new),
        "domain-a",
        "Its failure domain.");
  }

  private static ValueType<Long> memory() {
    return Sizes.between(BYTES_PER_MEBIBYTE, MAX_MEMORY_BYTES, BYTES_PER_MEBIBYTE);
  }
}
