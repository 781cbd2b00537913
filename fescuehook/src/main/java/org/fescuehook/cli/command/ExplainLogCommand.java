package org.fescuehook.cli.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fescuehook.entry.scheduler.SchedulerEvent;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.story.JobTimeline;
import org.fescuehook.logic.story.LateJobReport;
import org.fescuehook.logic.story.LogGap;
import org.fescuehook.logic.story.LogGapFinder;
import org.fescuehook.logic.story.LogLine;
import org.fescuehook.logic.story.LoggedEvent;
import org.fescuehook.logic.story.LoggedEventParser;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * {@code explain-log}: explains from the logs of the VMs how a batch job went, or why jobs ended
 * late.
 */
public final class ExplainLogCommand implements Command {

  private static final String STANDARD_INPUT = "-";
  private static final double MILLIS_PER_SECOND = 1000;

  /** Number of late jobs that {@code --all} lists one by one. */
  private static final int MAX_LISTED_JOBS = 10;

  @Argument(metaVar = "ID", usage = "the job; not with --all")
  private String id = "";

  @Option(name = "--all", usage = "sum up where all jobs of the log lost their time")
  private boolean all;

  @Option(
      name = "--log",
      metaVar = "FILE",
      usage = "log of a VM; may be given several times (default: standard input)")
  private List<String> files = new ArrayList<>();

  @Override
  public ExitCode run(Console console) throws CommandException {
    if (all != id.isEmpty()) {
      throw new CommandException(ExitCode.FAULTY_INPUT, "name one job, or give --all");
    }
    LogGapFinder gapFinder = new LogGapFinder(SchedulerEvent.STOPPED.number());
    List<LoggedEvent> log = new ArrayList<>();
    List<LogGap> gaps = new ArrayList<>();
    for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
      List<LogLine> lines = read(file);
      lines.forEach(line -> line.event().ifPresent(log::add));
      gaps.addAll(gapFinder.find(file, lines));
    }
    if (all) {
      return printLateJobs(LateJobReport.of(log), console);
    }
    return printTimeline(JobTimeline.of(id, log), gaps, console);
  }

  private ExitCode printLateJobs(LateJobReport report, Console console) throws CommandException {
    if (report.jobs() == 0) {
      throw new CommandException(
          ExitCode.REFUSED, "no line tells of an accepted job; give the logs of all VMs");
    }
    print(console, "%d jobs accepted, %d late%n", report.jobs(), report.late().size());
    for (LateJobReport.LostTime loss : report.losses()) {
      double seconds = loss.lateMillis() / MILLIS_PER_SECOND;
      print(console, "%9.3f s  %4d  %s  %s%n", seconds, loss.jobs(), loss.queue(), loss.cause());
    }
    for (LateJobReport.LateJob job : report.late().stream().limit(MAX_LISTED_JOBS).toList()) {
      print(
          console,
          "%s  %s  %d core-s  %.3f s late%s  %s%n",
          job.id(),
          job.queue(),
          job.coreSeconds(),
          job.lateMillis() / MILLIS_PER_SECOND,
          job.ended() ? "" : ", not ended",
          job.cause());
    }
    return ExitCode.DONE;
  }

  private static void print(Console console, String format, Object... arguments) {
    console.out().printf(Locale.ROOT, format, arguments);
  }

  private ExitCode printTimeline(JobTimeline timeline, List<LogGap> gaps, Console console)
      throws CommandException {
    if (timeline.events().isEmpty()) {
      long known = gaps.stream().filter(gap -> !(gap instanceof LogGap.OpenEnd)).count();
      String missing =
          known == 0 ? "" : "; in those given, lines are missing at " + known + " places";
      throw new CommandException(
          ExitCode.REFUSED, "no line names " + id + "; give the logs of all VMs" + missing);
    }
    long first = timeline.events().getFirst().millis();
    for (LoggedEvent event : timeline.events()) {
      double seconds = (event.millis() - first) / MILLIS_PER_SECOND;
      print(console, "%9.3f s  %s  %d  %s%n", seconds, event.vm(), event.number(), event.message());
    }
    timeline
        .longestStage()
        .ifPresent(
            stage ->
                print(
                    console,
                    "Longest: %.3f s, %s%n",
                    stage.millis() / MILLIS_PER_SECOND,
                    stage.name()));
    printGaps(timeline, gaps, console);
    return ExitCode.DONE;
  }

  /**
   * Prints the gaps in the logs that overlap the job's time. If no event says that the job ended,
   * its time lasts until the end of the logs.
   */
  private static void printGaps(JobTimeline timeline, List<LogGap> gaps, Console console) {
    long first = timeline.events().getFirst().millis();
    boolean ended =
        timeline.events().stream()
            .anyMatch(event -> event.number() == BatchLogEvent.JOB_ENDED.number());
    long last = ended ? timeline.events().getLast().millis() : Long.MAX_VALUE;
    List<String> silentVms = new ArrayList<>();
    for (LogGap gap : gaps) {
      if (!gap.overlaps(first, last)) {
        continue;
      }
      double from = (Math.max(gap.fromMillis(), first) - first) / MILLIS_PER_SECOND;
      double to = (Math.min(gap.toMillis(), last) - first) / MILLIS_PER_SECOND;
      switch (gap) {
        case LogGap.Missing missing ->
            print(
                console,
                "Missing: up to %d lines of %s from %.3f s to %.3f s%n",
                missing.lines(),
                missing.vm(),
                from,
                to);
        case LogGap.CutOff cutOff ->
            print(
                console,
                "Missing: perhaps the last lines of %s, which ended unplanned, from %.3f s to %.3f s%n",
                cutOff.vm(),
                from,
                to);
        case LogGap.OpenEnd end ->
            silentVms.add(String.format(Locale.ROOT, "%s after %.3f s", end.vm(), from));
      }
    }
    if (!silentVms.isEmpty()) {
      print(console, "No more lines, lost or idle: %s%n", String.join(", ", silentVms));
    }
  }

  private static List<LogLine> read(String file) throws CommandException {
    LoggedEventParser parser = new LoggedEventParser();
    List<LogLine> lines = new ArrayList<>();
    try (BufferedReader reader = open(file)) {
      reader.lines().forEach(line -> parser.read(line).ifPresent(lines::add));
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, "--log " + file + " cannot be read; give its path");
    }
    return lines;
  }

  private static BufferedReader open(String file) throws IOException {
    if (file.equals(STANDARD_INPUT)) {
      return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
    return Files.newBufferedReader(Path.of(file));
  }
}
