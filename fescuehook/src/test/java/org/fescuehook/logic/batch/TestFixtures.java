package org.fescuehook.logic.batch;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.BatchPreferences;
import org.fescuehook.model.preferences.MaintenancePreferences;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.fescuehook.model.preferences.WorkPreferences;

/** Configurations, preferences and executor profiles for tests. */
final class TestFixtures {

  static final String KEY = "key-of-north";
  static final String URGENT = "urgent";
  static final String NORMAL = "normal";
  static final String BULK = "bulk";

  /** A queue whose steps run only where the advice service allows them to. */
  static final String ADVISED = "advised";

  /** The same with priority 0. */
  static final String ADVISED_URGENT = "advised-urgent";

  static final String POOL = "pool";

  /** Capacity of an executor as the users run them. */
  static final ResourceVector CAPACITY = new ResourceVector(64_000, 262_144, 8);

  private TestFixtures() {}

  /** Refuses submissions by the backlog, and has no other optional part in use. */
  static final SchedulingPreferences BACKLOG_ADMISSION =
      new SchedulingPreferences(false, false, false, false, false, true, false);

  /** The optional parts that are in use on the users' platform. */
  static final SchedulingPreferences AS_DEPLOYED =
      new SchedulingPreferences(true, true, true, true, false, true, true);

  /** The time limits and rates that {@link ClusterMachines} keeps. */
  private static final MaintenancePreferences MAINTENANCE =
      new MaintenancePreferences(
          true, Duration.ofSeconds(2), Duration.ofMillis(5500), Duration.ofSeconds(3), 60, 60);

  /** Returns preferences without optional parts. */
  static BatchPreferences preferences() {
    return preferences(SchedulingPreferences.ALL_OFF);
  }

  /** Returns the same preferences with some optional parts of the scheduling in use. */
  static BatchPreferences preferences(SchedulingPreferences scheduling) {
    WorkPreferences work =
        new WorkPreferences(
            Duration.ofMillis(500),
            Duration.ofMillis(250),
            Duration.ofMillis(200),
            Duration.ofMillis(3000),
            Duration.ofMillis(2700));
    return new BatchPreferences(
        Duration.ofSeconds(6), Duration.ofSeconds(120), work, true, scheduling, MAINTENANCE);
  }

  /**
   * Returns the CPU capacity of a VM: VMs whose names begin with "weak" have a quarter of that of
   * the others.
   */
  static int milliCores(VmId id) {
    return id.value().startsWith("weak") ? 250 : 1000;
  }

  static BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    queues.put(URGENT, new JobQueue(URGENT, POOL, 0, 4, 1.5, 250, false, false));
    queues.put(NORMAL, new JobQueue(NORMAL, POOL, 1, 3, 3, 1000, false, false));
    queues.put(BULK, new JobQueue(BULK, POOL, 2, 2, 3, 3000, false, false));
    queues.put(ADVISED_URGENT, new JobQueue(ADVISED_URGENT, POOL, 0, 3, 1.5, 250, false, true));
    queues.put(ADVISED, new JobQueue(ADVISED, POOL, 1, 3, 3, 1000, false, true));
    return new BatchConfiguration(
        1, queues, List.of(new BatchOrganisation("north", Set.of(KEY), 24)));
  }

  /**
   * Returns the same queues with several organisations, each with the same number of guaranteed
   * accelerators.
   */
  static BatchConfiguration configuration(int organisations, int guaranteedEach) {
    List<BatchOrganisation> batchOrganisations = new ArrayList<>();
    for (int i = 0; i < organisations; i++) {
      batchOrganisations.add(new BatchOrganisation("org-" + i, Set.of(keyOf(i)), guaranteedEach));
    }
    return new BatchConfiguration(1, configuration().queues(), batchOrganisations);
  }

  /** Returns the API key of one of several organisations. */
  static String keyOf(int organisation) {
    return "key-of-org-" + organisation;
  }

  /** Returns the same configuration with all queues moved to another pool. */
  static BatchConfiguration withPool(long version, String pool) {
    Map<String, JobQueue> queues = new HashMap<>();
    configuration().queues().forEach((name, queue) -> queues.put(name, withPool(queue, pool)));
    return new BatchConfiguration(version, queues, configuration().organisations());
  }

  private static JobQueue withPool(JobQueue queue, String pool) {
    return new JobQueue(
        queue.name(),
        pool,
        queue.priority(),
        queue.maxAttempts(),
        queue.deadlineFactor(),
        queue.targetLatencyMillis(),
        queue.open(),
        queue.advised());
  }

  /** Returns the same queues without organisations, as after all API keys were removed. */
  static BatchConfiguration withoutKeys(long version) {
    return new BatchConfiguration(version, configuration().queues(), List.of());
  }

  static ExecutorProfile executor(String name, String rack) {
    return ofPool(name, rack, POOL);
  }

  static ExecutorProfile ofPool(String name, String rack, String pool) {
    return new ExecutorProfile(
        Incarnation.ofUnknownStart(new ExecutorId(name)),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port(name)),
        pool,
        new FailureDomain("a"),
        new RackId(rack),
        Set.of("kind", rack),
        CAPACITY,
        false,
        0);
  }

  private static int port(String name) {
    return 1 + Math.floorMod(name.hashCode(), 60_000);
  }

  /** Returns the same executor, reporting when it started. */
  static ExecutorProfile withStartTime(ExecutorProfile profile, long bornMillis) {
    return withIncarnation(profile, new Incarnation(profile.id(), OptionalLong.of(bornMillis)));
  }

  /** Returns the same executor as another incarnation, under another id. */
  static ExecutorProfile withId(ExecutorProfile profile, String name) {
    return withIncarnation(profile, Incarnation.ofUnknownStart(new ExecutorId(name)));
  }

  /** Returns the same incarnation of an executor at another port of its host. */
  static ExecutorProfile withPort(ExecutorProfile profile, int port) {
    return new ExecutorProfile(
        profile.incarnation(),
        new InetSocketAddress(profile.address().getAddress(), port),
        profile.pool(),
        profile.domain(),
        profile.rack(),
        profile.labels(),
        profile.capacity(),
        profile.leaving(),
        profile.remainingMillis());
  }

  private static ExecutorProfile withIncarnation(ExecutorProfile profile, Incarnation incarnation) {
    return new ExecutorProfile(
        incarnation,
        profile.address(),
        profile.pool(),
        profile.domain(),
        profile.rack(),
        profile.labels(),
        profile.capacity(),
        false,
        0);
  }

  /** Returns the same executor in another failure domain. */
  static ExecutorProfile inDomain(ExecutorProfile profile, FailureDomain domain) {
    return new ExecutorProfile(
        profile.incarnation(),
        profile.address(),
        profile.pool(),
        domain,
        profile.rack(),
        profile.labels(),
        profile.capacity(),
        profile.leaving(),
        profile.remainingMillis());
  }

  static ExecutorProfile withCapacity(ExecutorProfile profile, ResourceVector capacity) {
    return new ExecutorProfile(
        profile.incarnation(),
        profile.address(),
        profile.pool(),
        profile.domain(),
        profile.rack(),
        profile.labels(),
        capacity,
        profile.leaving(),
        profile.remainingMillis());
  }

  static ExecutorProfile leaving(ExecutorProfile profile, long remainingMillis) {
    return new ExecutorProfile(
        profile.incarnation(),
        profile.address(),
        profile.pool(),
        profile.domain(),
        profile.rack(),
        profile.labels(),
        profile.capacity(),
        true,
        remainingMillis);
  }
}
