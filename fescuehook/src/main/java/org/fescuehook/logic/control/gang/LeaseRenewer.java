package org.fescuehook.logic.control.gang;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.preferences.ControlPreferences;

/**
 * Renews leases, all those on one worker with one command. The leases of a young attempt are
 * renewed more often, because the reply shows the end of a short task; the interval grows with the
 * attempt's age up to the configured renewal interval.
 */
final class LeaseRenewer {

  /** Divisor of an attempt's age that gives the renewal interval: a quarter of the age. */
  private static final int AGE_DIVISOR = 4;

  /** Time over which the first renewals of adopted leases are spread. */
  private static final Duration ADOPTION_SPREAD = Duration.ofSeconds(1);

  /** Longest renewal interval for a worker that did not answer the last command. */
  private static final Duration SILENT_RENEWAL_INTERVAL = Duration.ofSeconds(2);

  /** The attempt and the member that hold a lease. */
  record Holder(AttemptProgress attempt, MemberProgress member) {}

  private static final class WorkerLeases {
    final Map<String, Holder> holders = new HashMap<>();
    long nextRenewalNanos;
    boolean silent;
  }

  private final ControlPreferences preferences;
  private final TreeMap<WorkerId, WorkerLeases> workers = new TreeMap<>();

  LeaseRenewer(ControlPreferences preferences) {
    this.preferences = preferences;
  }

  /** Adds the leases of a committed attempt; they are renewed at once. */
  void add(AttemptProgress attempt, DecisionContext context) {
    for (MemberProgress member : attempt.members) {
      WorkerLeases leases = workers.computeIfAbsent(member.worker, id -> new WorkerLeases());
      leases.holders.put(member.lease, new Holder(attempt, member));
      leases.nextRenewalNanos = context.nowNanos();
    }
  }

  /**
   * Adds the leases of an attempt that another VM committed. The first renewals are spread over
   * {@link #ADOPTION_SPREAD}.
   */
  void adopt(AttemptProgress attempt, DecisionContext context) {
    add(attempt, context);
    for (MemberProgress member : attempt.members) {
      long spread = Math.floorMod(member.worker.value().hashCode(), ADOPTION_SPREAD.toMillis());
      workers.get(member.worker).nextRenewalNanos =
          context.nowNanos() + Duration.ofMillis(spread).toNanos();
    }
  }

  /** Removes the leases of an attempt from renewal. */
  void remove(AttemptProgress attempt) {
    for (MemberProgress member : attempt.members) {
      WorkerLeases leases = workers.get(member.worker);
      if (leases == null) {
        continue;
      }
      leases.holders.remove(member.lease);
      if (leases.holders.isEmpty()) {
        workers.remove(member.worker);
      }
    }
  }

  /** Removes all leases from renewal. */
  void clear() {
    workers.clear();
  }

  /** Returns the attempt and the member that hold a lease. */
  Optional<Holder> holder(WorkerId worker, String lease) {
    return Optional.ofNullable(workers.get(worker)).map(leases -> leases.holders.get(lease));
  }

  /**
   * Records whether a worker answered its last command; a silent worker is sent renewals more
   * often.
   */
  void heard(WorkerId worker, boolean silent) {
    WorkerLeases leases = workers.get(worker);
    if (leases != null) {
      leases.silent = silent;
    }
  }

  /**
   * Sends the renewals that are due. Implements the action {@code Renew} of the module
   * SilentWorker, which is {@code Renewed} in the module Gang.
   */
  void step(DecisionContext context) {
    workers.forEach((worker, leases) -> renewIfDue(worker, leases, context));
  }

  private void renewIfDue(WorkerId worker, WorkerLeases leases, DecisionContext context) {
    if (context.nowNanos() < leases.nextRenewalNanos) {
      return;
    }
    List<String> ids = new ArrayList<>();
    long youngest = Long.MAX_VALUE;
    for (Map.Entry<String, Holder> entry : leases.holders.entrySet()) {
      Holder holder = entry.getValue();
      if (holder.attempt().renewable() && !holder.member().gone) {
        ids.add(entry.getKey());
        holder.member().lastRenewalNanos = context.nowNanos();
        youngest = Math.min(youngest, age(holder.attempt(), context));
      }
    }
    leases.nextRenewalNanos = context.nowNanos() + interval(leases, youngest).toNanos();
    if (ids.isEmpty()) {
      return;
    }
    ids.sort(null);
    context.send(worker, new WorkerCommand.Renew(ids, preferences.leaseTtl().toMillis()));
  }

  /**
   * Returns the age of an attempt in nanoseconds; 0 if it is being stopped, so that a checkpoint is
   * seen soon.
   */
  private static long age(AttemptProgress attempt, DecisionContext context) {
    return attempt.stoppingSinceNanos.isPresent() ? 0 : context.nowNanos() - attempt.createdNanos;
  }

  private Duration interval(WorkerLeases leases, long youngestNanos) {
    Duration longest = preferences.renewInterval();
    if (leases.silent && SILENT_RENEWAL_INTERVAL.compareTo(longest) < 0) {
      longest = SILENT_RENEWAL_INTERVAL;
    }
    Duration byAge = Duration.ofNanos(youngestNanos / AGE_DIVISOR);
    if (byAge.compareTo(ControlLimits.MIN_RENEWAL_INTERVAL) < 0) {
      byAge = ControlLimits.MIN_RENEWAL_INTERVAL;
    }
    return byAge.compareTo(longest) < 0 ? byAge : longest;
  }
}
