package org.fescuehook.logic.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds gaps in logs from the sequence numbers of their lines, which start from 1 in each process
 * of a VM. Lines without a number are ignored.
 */
public final class LogGapFinder {

  /**
   * Maximum distance in sequence numbers by which a line may precede one with a lower number.
   * Threads that log at the same time take their numbers and write their lines in different orders.
   */
  private static final int MAX_REORDERING = 64;

  private final int stopEvent;

  /**
   * Creates a finder.
   *
   * @param stopEvent number of the event that a process logs last when it stops as planned
   */
  public LogGapFinder(int stopEvent) {
    this.stopEvent = stopEvent;
  }

  /**
   * Returns the gaps of a log.
   *
   * @param name name to use for the VM if the lines name none
   * @param log lines in the order of the log; lines of several VMs may be interleaved
   */
  public List<LogGap> find(String name, List<LogLine> log) {
    Map<String, List<LogLine>> byVm = new LinkedHashMap<>();
    for (LogLine line : log) {
      if (line.number() > 0) {
        String vm = line.vm().isEmpty() ? name : line.vm();
        byVm.computeIfAbsent(vm, same -> new ArrayList<>()).add(line);
      }
    }
    List<LogGap> gaps = new ArrayList<>();
    byVm.forEach((vm, lines) -> addGaps(vm, processes(lines), gaps));
    return gaps;
  }

  private static List<List<LogLine>> processes(List<LogLine> lines) {
    List<List<LogLine>> processes = new ArrayList<>();
    Set<Long> seen = new HashSet<>();
    long highest = Long.MAX_VALUE;
    for (LogLine line : lines) {
      boolean newProcess = !seen.add(line.number()) || line.number() + MAX_REORDERING < highest;
      if (newProcess) {
        processes.add(new ArrayList<>());
        seen = new HashSet<>(Set.of(line.number()));
        highest = line.number();
      }
      processes.getLast().add(line);
      highest = Math.max(highest, line.number());
    }
    return processes;
  }

  private void addGaps(String vm, List<List<LogLine>> processes, List<LogGap> gaps) {
    long lastMillis = Long.MIN_VALUE;
    for (int i = 0; i < processes.size(); i++) {
      List<LogLine> process = processes.get(i);
      addMissing(vm, process, lastMillis, gaps);
      lastMillis = process.stream().mapToLong(LogLine::millis).max().orElseThrow();
      if (process.stream().anyMatch(this::isPlannedStop)) {
        continue;
      }
      boolean last = i + 1 == processes.size();
      gaps.add(
          last
              ? new LogGap.OpenEnd(vm, lastMillis)
              : new LogGap.CutOff(vm, lastMillis, processes.get(i + 1).getFirst().millis()));
    }
  }

  private static void addMissing(
      String vm, List<LogLine> process, long beforeMillis, List<LogGap> gaps) {
    long number = 0;
    long millis = beforeMillis;
    List<LogLine> ordered =
        process.stream().sorted(Comparator.comparingLong(LogLine::number)).toList();
    for (LogLine line : ordered) {
      long missing = line.number() - number - 1;
      if (missing > 0) {
        gaps.add(new LogGap.Missing(vm, millis, line.millis(), missing));
      }
      number = line.number();
      millis = line.millis();
    }
  }

  private boolean isPlannedStop(LogLine line) {
    return line.event().filter(event -> event.number() == stopEvent).isPresent();
  }
}
