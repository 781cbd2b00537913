package org.fescuehook.standins.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds what the events of workers, of one process or of several, show to be wrong. */
public final class GangAudit {
  private final int accelerators;
  private final long maxPartialMillis;
  private final Map<String, Integer> held = new HashMap<>();
  private final Map<String, Gang> gangs = new HashMap<>();
  private final List<Finding> findings = new ArrayList<>();

  /** Kinds of findings. */
  public enum Fault {
    /** A worker's leases held more accelerators than it has. */
    OVERBOOKED,
    /** A member, or another attempt of the same job, ran already when a member was started. */
    DOUBLED,
    /** Members of a gang ran while others did not, for longer than allowed. */
    PARTIAL
  }

  /** Something wrong; the subject is a worker or an attempt. */
  public record Finding(Fault fault, String subject, long at, String detail) {}

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
   * Checks events, in any order.
   *
   * @param accelerators accelerators of each worker
   * @param maxPartialMillis how long a gang may run in part
   */
  public static List<Finding> check(
      List<WorkerEvent> events, int accelerators, long maxPartialMillis) {
    GangAudit audit = new GangAudit(accelerators, maxPartialMillis);
    events.forEach(e -> audit.gang(e).members.add(e.key()));
    long last = 0;
    for (WorkerEvent e :
        events.stream().sorted(Comparator.comparingLong(WorkerEvent::at)).toList()) {
      audit.take(e);
      last = e.at();
    }
    for (Map.Entry<String, Gang> entry : audit.gangs.entrySet()) {
      audit.endPartial(entry.getKey(), entry.getValue(), last);
    }
    return audit.findings;
  }

  private void take(WorkerEvent e) {
    switch (e.kind()) {
      case REFUSED -> {}
      case GRANTED -> hold(e, e.accelerators());
      case STARTED -> start(e);
      case FINISHED, FAILED, CHECKPOINTED -> end(e);
      case RELEASED, LAPSED -> {
        hold(e, -e.accelerators());
        end(e);
      }
    }
  }

  private void hold(WorkerEvent e, int change) {
    int now = held.merge(e.worker(), change, Integer::sum);
    if (now > accelerators) {
      findings.add(new Finding(Fault.OVERBOOKED, e.worker(), e.at(), now + " held"));
    }
  }

  private void start(WorkerEvent e) {
    Gang started = gang(e);
    started.job = e.job();
    for (Gang gang : gangs.values()) {
      boolean rival = gang != started && gang.job.equals(e.job()) && !gang.runningByLease.isEmpty();
      boolean twice = gang == started && gang.runningByLease.containsValue(e.key());
      if (rival || twice) {
        String others = gang.runningByLease.values().toString();
        findings.add(new Finding(Fault.DOUBLED, e.attempt(), e.at(), others + " ran already"));
      }
    }
    started.runningByLease.put(e.lease(), e.key());
    judge(e, started);
  }

  private void end(WorkerEvent e) {
    Gang gang = gang(e);
    if (gang.runningByLease.remove(e.lease()) == null) {
      return;
    }
    if (e.kind() == WorkerEvent.Kind.FINISHED) {
      gang.finished.add(e.key());
    }
    judge(e, gang);
  }

  private void judge(WorkerEvent e, Gang gang) {
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
