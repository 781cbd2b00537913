package org.fescuehook.logic.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds what is missing from logs by the numbers of their lines, which begin with 1 in each process
 * of a VM. Lines without a number tell nothing.
 */
public final class LogGapFinder {

  /** Threads that log at the same time may pass each other between number and line. */
  private static final int REORDERED = 64;

  private final int stopEvent;

  /**
   * Creates a finder.
   *
   * @param stopEvent number of the event that ends the log of a planned stop
   */
  public LogGapFinder(int stopEvent) {
    this.stopEvent = stopEvent;
  }

  /**
   * Returns the gaps of a log.
   *
   * @param name stands for the VM where lines name none
   * @param log lines in the order of the log; those of several VMs may be mixed
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
      boolean began = !seen.add(line.number()) || line.number() + REORDERED < highest;
      if (began) {
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
    long before = Long.MIN_VALUE;
    for (int i = 0; i < processes.size(); i++) {
      List<LogLine> process = processes.get(i);
      addMissing(vm, process, before, gaps);
      before = process.stream().mapToLong(LogLine::millis).max().orElseThrow();
      if (process.stream().anyMatch(this::stops)) {
        continue;
      }
      boolean last = i + 1 == processes.size();
      gaps.add(
          last
              ? new LogGap.OpenEnd(vm, before)
              : new LogGap.CutOff(vm, before, processes.get(i + 1).getFirst().millis()));
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

  private boolean stops(LogLine line) {
    return line.event().filter(event -> event.number() == stopEvent).isPresent();
  }
}
