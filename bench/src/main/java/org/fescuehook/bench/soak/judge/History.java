package org.fescuehook.bench.soak.judge;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.standins.platform.MachineCall;
import org.fescuehook.standins.platform.RunEvent;

/**
 * What callers and executors saw of a whole run. All times are of one monotonic clock.
 *
 * @param vms how many VMs there are
 * @param executors how many executors the usual service has, whose numbers begin with 1
 * @param callsOfOthers calls about ids of jobs by callers who chose them for jobs of their own
 * @param quietMillis when the last fault was over and callers handed in no further job
 * @param endMillis when the record ends
 * @param selfEnded what processes did that nobody told them
 */
public record History(
    int vms,
    int executors,
    List<PlannedJob> jobs,
    List<JobCall> calls,
    List<JobCall> callsOfOthers,
    List<RunEvent> runs,
    List<MachineCall> machineCalls,
    List<Disruption> disruptions,
    long quietMillis,
    long endMillis,
    List<String> selfEnded) {

  /** How long before a moment a VM has to be undisturbed to count as in touch. */
  static final long CONTACT_MILLIS = 3000;

  /** Planned work that keeps nobody from serving, and therefore excuses no other promise. */
  static final Set<Disruption.Kind> CHANGES =
      EnumSet.of(Disruption.Kind.RELOADED, Disruption.Kind.CONFIGURED);

  /** After this time a lease of an executor that was disturbed has expired for certain. */
  static final long LEASE_MILLIS = 7000;

  /**
   * From this time after the beginning of a cut on, a VM that reaches the executors has to start
   * what can run: a lease of a run behind the cut has expired, and so has that of an owner that
   * gives up its ownership.
   */
  static final long CUT_NOTICED_MILLIS = 8000;

  /** In this time after the last fault of a VM or the store an owner is found. */
  private static final long OWNERLESS_MILLIS = 14_000;

  private static final Set<Disruption.Kind> HARMLESS =
      EnumSet.of(
          Disruption.Kind.STOPPED,
          Disruption.Kind.STARTING,
          Disruption.Kind.RELOADED,
          Disruption.Kind.CONFIGURED,
          Disruption.Kind.EXECUTOR,
          Disruption.Kind.EVACUATION,
          Disruption.Kind.MAINTENANCE,
          Disruption.Kind.ADVICE,
          Disruption.Kind.RUNS_FAIL,
          Disruption.Kind.ORDERS_LATE,
          Disruption.Kind.EXECUTORS_CUT,
          Disruption.Kind.ODD_ENTRIES);

  /** A slow store answers reads within a second, and a lossy one loses answers to appends only. */
  private static final Set<Disruption.Kind> KEEPS_FROM_READING =
      EnumSet.of(Disruption.Kind.PAUSED, Disruption.Kind.LINK, Disruption.Kind.STORE_AWAY);

  /** Kinds that disturb neither a VM nor its way to the store. */
  private static final Set<Disruption.Kind> OUTSIDE_VMS =
      EnumSet.of(
          Disruption.Kind.EXECUTOR,
          Disruption.Kind.EVACUATION,
          Disruption.Kind.RELOADED,
          Disruption.Kind.CONFIGURED,
          Disruption.Kind.MAINTENANCE,
          Disruption.Kind.ADVICE,
          Disruption.Kind.RUNS_FAIL,
          Disruption.Kind.ORDERS_LATE,
          Disruption.Kind.EXECUTORS_CUT,
          Disruption.Kind.ODD_ENTRIES);

  /** Copies the lists. */
  public History {
    jobs = List.copyOf(jobs);
    calls = List.copyOf(calls);
    callsOfOthers = List.copyOf(callsOfOthers);
    runs = List.copyOf(runs);
    machineCalls = List.copyOf(machineCalls);
    disruptions = List.copyOf(disruptions);
    selfEnded = List.copyOf(selfEnded);
  }

  /** Tells whether a VM and the store are undisturbed through a span and some time before. */
  boolean inTouch(int vm, long from, long to) {
    return disruptions.stream()
        .filter(d -> !OUTSIDE_VMS.contains(d.kind()))
        .filter(d -> d.number() == vm || d.number() == Disruption.ALL)
        .noneMatch(d -> d.overlaps(from - CONTACT_MILLIS, to));
  }

  /** Tells whether all VMs that run can read the store, and could for some time before. */
  boolean storeReadable(long from, long to) {
    return disruptions.stream()
        .filter(d -> KEEPS_FROM_READING.contains(d.kind()))
        .noneMatch(d -> d.overlaps(from - CONTACT_MILLIS, to));
  }

  /** Tells whether nothing but changes disturbs any VM, the store or an executor. */
  boolean calm(long from, long to) {
    return disruptions.stream()
        .filter(d -> !CHANGES.contains(d.kind()))
        .noneMatch(d -> d.overlaps(from, to));
  }

  /** Tells whether nothing but late orders disturbs any VM, the store or an executor. */
  boolean calmButForLateOrders(long from, long to) {
    return calmButFor(Disruption.Kind.ORDERS_LATE, from, to);
  }

  /**
   * Tells whether nothing but cuts between VMs and executors disturbs any VM, the store or an
   * executor, and none of these cuts has begun a short time ago.
   */
  boolean calmButForCuts(long from, long to) {
    return calmButFor(Disruption.Kind.EXECUTORS_CUT, from, to)
        && disruptions.stream()
            .filter(d -> d.kind() == Disruption.Kind.EXECUTORS_CUT)
            .noneMatch(d -> d.fromMillis() > from - CUT_NOTICED_MILLIS && d.fromMillis() <= to);
  }

  private boolean calmButFor(Disruption.Kind kind, long from, long to) {
    return disruptions.stream()
        .filter(d -> d.kind() != kind && !CHANGES.contains(d.kind()))
        .noneMatch(
            d ->
                d.overlaps(
                    from - (OUTSIDE_VMS.contains(d.kind()) ? LEASE_MILLIS : OWNERLESS_MILLIS), to));
  }

  /** Tells whether nothing but planned work disturbs any VM or the store. */
  boolean undisturbed(long from, long to) {
    return disruptions.stream()
        .filter(d -> !HARMLESS.contains(d.kind()))
        .noneMatch(d -> d.overlaps(from - CONTACT_MILLIS, to));
  }
}
