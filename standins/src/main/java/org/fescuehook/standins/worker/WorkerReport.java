package org.fescuehook.standins.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the events of workers, of one process or of several, show to be wrong.
 *
 * @param overbooked workers on which leases held more accelerators at a time than there are
 * @param doubled jobs of which two attempts, or one member twice, ran at a time
 * @param partial gangs that ran in part for longer than allowed
 */
public record WorkerReport(
    List<Overbooked> overbooked, List<Doubled> doubled, List<Partial> partial) {

  /** More accelerators held than the worker has. */
  public record Overbooked(String worker, long at, int held, int capacity) {}

  /** Two tasks of one job that should never run together. */
  public record Doubled(String job, long at, String key, String otherKey) {}

  /** A gang of which some members ran while others did not. */
  public record Partial(String attempt, long from, long millis, int running, int members) {}

  /**
   * Computes the report.
   *
   * @param events events in any order
   * @param accelerators accelerators of each worker
   * @param maxPartialMillis how long a gang may run in part
   */
  public static WorkerReport of(
      List<WorkerEvent> events, int accelerators, long maxPartialMillis) {
    Computation computation = new Computation(events, accelerators, maxPartialMillis);
    events.stream().sorted(Comparator.comparingLong(WorkerEvent::at)).forEach(computation::take);
    return computation.finish();
  }

  /** Returns whether nothing is wrong. */
  public boolean clean() {
    return overbooked.isEmpty() && doubled.isEmpty() && partial.isEmpty();
  }

  /** Folds events, oldest first. */
  private static final class Computation {
    private final int accelerators;
    private final long maxPartialMillis;
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Map<String, String>> runningByJob = new HashMap<>();
    private final Map<String, Gang> gangs = new LinkedHashMap<>();
    private final List<Overbooked> overbooked = new ArrayList<>();
    private final List<Doubled> doubled = new ArrayList<>();
    private final List<Partial> partial = new ArrayList<>();
    private long last;

    Computation(List<WorkerEvent> events, int accelerators, long maxPartialMillis) {
      this.accelerators = accelerators;
      this.maxPartialMillis = maxPartialMillis;
      events.forEach(e -> gang(e).members.add(member(e)));
    }

    void take(WorkerEvent e) {
      last = e.at();
      switch (e.kind()) {
        case REFUSED -> {}
        case GRANTED -> hold(e);
        case STARTED -> start(e);
        case FINISHED -> end(e, true);
        case FAILED, CHECKPOINTED -> end(e, false);
        case RELEASED, LAPSED -> {
          held.merge(e.worker(), -e.accelerators(), Integer::sum);
          end(e, false);
        }
      }
    }

    WorkerReport finish() {
      gangs.forEach((attempt, gang) -> close(attempt, gang, last));
      return new WorkerReport(overbooked, doubled, partial);
    }

    private void hold(WorkerEvent e) {
      int now = held.merge(e.worker(), e.accelerators(), Integer::sum);
      if (now > accelerators) {
        overbooked.add(new Overbooked(e.worker(), e.at(), now, accelerators));
      }
    }

    private void start(WorkerEvent e) {
      Map<String, String> running = runningByJob.computeIfAbsent(e.job(), j -> new TreeMap<>());
      for (String key : running.values()) {
        if (!attempt(key).equals(attempt(e.key())) || key.equals(e.key())) {
          doubled.add(new Doubled(e.job(), e.at(), e.key(), key));
        }
      }
      running.put(e.lease(), e.key());
      Gang gang = gang(e);
      gang.running.add(e.lease());
      judge(attempt(e.key()), gang, e.at());
    }

    private void end(WorkerEvent e, boolean whole) {
      runningByJob.getOrDefault(e.job(), new HashMap<>()).remove(e.lease());
      Gang gang = gang(e);
      if (!gang.running.remove(e.lease())) {
        return;
      }
      if (whole) {
        gang.finished.add(member(e));
      }
      judge(attempt(e.key()), gang, e.at());
    }

    private void judge(String attempt, Gang gang, long now) {
      int counted = gang.running.size() + gang.finished.size();
      boolean inPart = !gang.running.isEmpty() && counted < gang.members.size();
      if (!inPart) {
        close(attempt, gang, now);
        return;
      }
      if (gang.partialSince < 0) {
        gang.partialSince = now;
        gang.partialRunning = gang.running.size();
      }
    }

    private void close(String attempt, Gang gang, long now) {
      if (gang.partialSince < 0) {
        return;
      }
      long millis = now - gang.partialSince;
      if (millis > maxPartialMillis) {
        partial.add(
            new Partial(
                attempt, gang.partialSince, millis, gang.partialRunning, gang.members.size()));
      }
      gang.partialSince = -1;
    }

    private Gang gang(WorkerEvent e) {
      return gangs.computeIfAbsent(attempt(e.key()), a -> new Gang());
    }

    private static String attempt(String key) {
      return key.substring(0, Math.max(0, key.lastIndexOf('/')));
    }

    private static String member(WorkerEvent e) {
      return e.key().substring(e.key().lastIndexOf('/') + 1);
    }
  }

  /** Members of one attempt. */
  private static final class Gang {
    private final Set<String> members = new HashSet<>();
    private final Set<String> running = new HashSet<>();
    private final Set<String> finished = new HashSet<>();
    private long partialSince = -1;
    private int partialRunning;
  }
}
