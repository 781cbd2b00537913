package org.fescuehook.standins.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the events of workers, of one or several processes, for violations of what a scheduler of
 * gangs guarantees.
 */
public final class GangAudit {
  private final int accelerators;
  private final long maxPartialMillis;
  private final Map<String, Integer> heldAccelerators = new HashMap<>();
  private final Map<String, Gang> gangs = new HashMap<>();
  private final List<Finding> findings = new ArrayList<>();

  /** Kinds of violations. */
  public enum Fault {
    /** The leases of a worker held more accelerators than the worker has. */
    OVERBOOKED,
    /** A member was started while it, or another attempt of the same job, was already running. */
    DOUBLED,
    /** Some members of a gang ran without the others for longer than allowed. */
    PARTIAL
  }

  /** A violation; the subject is the name of a worker or of an attempt. */
  public record Finding(Fault fault, String subject, long at, String detail) {}

  /** An attempt of a job: its members, and since when only a part of them has been running. */
  private static final class Gang {
    final Set<String> members = new HashSet<>();
    final Set<String> finished = new HashSet<>();
    final Map<String, String> runningByLease = new HashMap<>();
    String job = "";
    long partialSince = -1;
  }

  private GangAudit(int accelerators, long maxPartialMillis) {
    this.accelerators = accelerators;
    this.maxPartialMillis = maxPartialMillis;
  }

  /**
   * Returns the violations in the events.
   *
   * @param events events in any order
   * @param accelerators number of accelerators of each worker
   * @param maxPartialMillis how long a part of a gang may run without the others, in milliseconds
   */
  public static List<Finding> check(
      List<WorkerEvent> events, int accelerators, long maxPartialMillis) {
    GangAudit audit = new GangAudit(accelerators, maxPartialMillis);
    events.forEach(e -> audit.gang(e).members.add(e.key()));
    long last = 0;
    for (WorkerEvent e :
        events.stream().sorted(Comparator.comparingLong(WorkerEvent::at)).toList()) {
      audit.apply(e);
      last = e.at();
    }
    for (Map.Entry<String, Gang> entry : audit.gangs.entrySet()) {
      audit.endPartial(entry.getKey(), entry.getValue(), last);
    }
    return audit.findings;
  }

  private void apply(WorkerEvent e) {
    switch (e.kind()) {
      case REFUSED -> {}
      case GRANTED -> addHeld(e, e.accelerators());
      case STARTED -> start(e);
      case FINISHED, FAILED, CHECKPOINTED -> end(e);
      case RELEASED, LAPSED -> {
        addHeld(e, -e.accelerators());
        end(e);
      }
    }
  }

  private void addHeld(WorkerEvent e, int change) {
    int now = heldAccelerators.merge(e.worker(), change, Integer::sum);
    if (now > accelerators) {
      findings.add(new Finding(Fault.OVERBOOKED, e.worker(), e.at(), now + " held"));
    }
  }

  private void start(WorkerEvent e) {
    Gang started = gang(e);
    started.job = e.job();
    for (Gang gang : gangs.values()) {
      boolean rival = gang != started && gang.job.equals(e.job()) && !gang.runningByLease.isEmpty();
      boolean duplicate = gang == started && gang.runningByLease.containsValue(e.key());
      if (rival || duplicate) {
        String others = gang.runningByLease.values().toString();
        findings.add(new Finding(Fault.DOUBLED, e.attempt(), e.at(), others + " ran already"));
      }
    }
    started.runningByLease.put(e.lease(), e.key());
    updatePartial(e, started);
  }

  private void end(WorkerEvent e) {
    Gang gang = gang(e);
    if (gang.runningByLease.remove(e.lease()) == null) {
      return;
    }
    if (e.kind() == WorkerEvent.Kind.FINISHED) {
      gang.finished.add(e.key());
    }
    updatePartial(e, gang);
  }

  /** Starts or ends the time during which only a part of the gang runs. */
  private void updatePartial(WorkerEvent e, Gang gang) {
    int running = gang.runningByLease.size();
    if (running == 0 || running + gang.finished.size() >= gang.members.size()) {
      endPartial(e.attempt(), gang, e.at());
    } else if (gang.partialSince < 0) {
      gang.partialSince = e.at();
    }
  }

  private void endPartial(String attempt, Gang gang, long now) {
    long millis = now - gang.partialSince;
    if (gang.partialSince >= 0 && millis > maxPartialMillis) {
      findings.add(new Finding(Fault.PARTIAL, attempt, gang.partialSince, millis + " ms"));
    }
    gang.partialSince = -1;
  }

  private Gang gang(WorkerEvent e) {
    return gangs.computeIfAbsent(e.attempt(), a -> new Gang());
  }
}
