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
import org.fescuehook.model.preferences.WorkPreferences;

/** What operators and executors have declared in tests. */
final class Declared {

  static final String KEY = "key-of-north";
  static final String URGENT = "urgent";
  static final String NORMAL = "normal";
  static final String BULK = "bulk";

  /** A queue whose steps run only where the advice service allows it. */
  static final String ADVISED = "advised";

  static final String POOL = "pool";

  /** An executor as the users have them. */
  static final ResourceVector CAPACITY = new ResourceVector(64_000, 262_144, 8);

  private Declared() {}

  /** Bounds as {@link FakeExecutor} keeps them. */
  static BatchPreferences preferences() {
    WorkPreferences work =
        new WorkPreferences(
            Duration.ofMillis(500),
            Duration.ofMillis(250),
            Duration.ofMillis(200),
            Duration.ofMillis(2700));
    return new BatchPreferences(Duration.ofSeconds(6), Duration.ofSeconds(120), work, true);
  }

  /** VMs whose names begin with "weak" have a quarter of the power of the others. */
  static int milliCores(VmId id) {
    return id.value().startsWith("weak") ? 250 : 1000;
  }

  static BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    queues.put(URGENT, new JobQueue(URGENT, POOL, 0, 4, 1.5, 250, false, false));
    queues.put(NORMAL, new JobQueue(NORMAL, POOL, 1, 3, 3, 1000, false, false));
    queues.put(BULK, new JobQueue(BULK, POOL, 2, 2, 3, 3000, false, false));
    queues.put(ADVISED, new JobQueue(ADVISED, POOL, 1, 3, 3, 1000, false, true));
    return new BatchConfiguration(
        1, queues, List.of(new BatchOrganisation("north", Set.of(KEY), 24)));
  }

  /** The same queues, and several organisations with as many guaranteed accelerators each. */
  static BatchConfiguration configuration(int organisations, int guaranteedEach) {
    List<BatchOrganisation> holders = new ArrayList<>();
    for (int i = 0; i < organisations; i++) {
      holders.add(new BatchOrganisation("org-" + i, Set.of(keyOf(i)), guaranteedEach));
    }
    return new BatchConfiguration(1, configuration().queues(), holders);
  }

  /** Returns the key of one of several organisations. */
  static String keyOf(int organisation) {
    return "key-of-org-" + organisation;
  }

  /** The same queues after all keys were taken away. */
  static BatchConfiguration withoutKeys(long version) {
    return new BatchConfiguration(version, configuration().queues(), List.of());
  }

  static ExecutorProfile executor(String name, String rack) {
    return ofPool(name, rack, POOL);
  }

  static ExecutorProfile ofPool(String name, String rack, String pool) {
    return new ExecutorProfile(
        Incarnation.undated(new ExecutorId(name)),
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

  /** The same executor, which tells when it started. */
  static ExecutorProfile born(ExecutorProfile profile, long bornMillis) {
    return inLife(profile, new Incarnation(profile.id(), OptionalLong.of(bornMillis)));
  }

  /** The same executor in another life. */
  static ExecutorProfile renamed(ExecutorProfile profile, String name) {
    return inLife(profile, Incarnation.undated(new ExecutorId(name)));
  }

  private static ExecutorProfile inLife(ExecutorProfile profile, Incarnation life) {
    return new ExecutorProfile(
        life,
        profile.address(),
        profile.pool(),
        profile.domain(),
        profile.rack(),
        profile.labels(),
        profile.capacity(),
        false,
        0);
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
