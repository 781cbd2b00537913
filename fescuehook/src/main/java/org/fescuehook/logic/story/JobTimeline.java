package org.fescuehook.logic.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.logic.batch.BatchLogEvent;

/**
 * What happened to one job: its own events, those of the executors that it ran on, and changes of
 * the owner meanwhile, in the order of their times; and where its time went.
 */
public final class JobTimeline {

  /** Name of the stage in which nothing but work passed. */
  public static final String WORK = "work";

  private static final Pattern EXECUTOR =
      Pattern.compile("(?:placed )?on ([^\\s@]+?)(?:@\\d+)?(?: in rack|:| |$)");

  private final List<LoggedEvent> events;
  private final List<Stage> stages;

  /**
   * Time between two events of the job.
   *
   * @param name what the job waited for
   */
  public record Stage(String name, long millis) {}

  private JobTimeline(List<LoggedEvent> events, List<Stage> stages) {
    this.events = List.copyOf(events);
    this.stages = List.copyOf(stages);
  }

  /**
   * Tells the story of a job.
   *
   * @param id the job
   * @param log events of all VMs in any order
   */
  public static JobTimeline of(String id, List<LoggedEvent> log) {
    List<LoggedEvent> own =
        log.stream()
            .filter(event -> event.message().contains(id))
            .sorted(Comparator.comparingLong(LoggedEvent::millis))
            .toList();
    if (own.isEmpty()) {
      return new JobTimeline(List.of(), List.of());
    }
    Set<String> executors = new HashSet<>();
    own.forEach(event -> executor(event).ifPresent(executors::add));
    long first = own.getFirst().millis();
    long last = own.getLast().millis();
    List<LoggedEvent> all = new ArrayList<>(own);
    for (LoggedEvent event : log) {
      boolean during = event.millis() >= first && event.millis() <= last;
      if (during && !event.message().contains(id) && surrounds(event, executors)) {
        all.add(event);
      }
    }
    all.sort(Comparator.comparingLong(LoggedEvent::millis));
    return new JobTimeline(all, stages(own));
  }

  private static Optional<String> executor(LoggedEvent event) {
    boolean ofRun =
        event.number() == BatchLogEvent.RUN_PLACED.number()
            || event.number() == BatchLogEvent.RUN_ENDED.number();
    Matcher matcher = EXECUTOR.matcher(event.message());
    return ofRun && matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /** Tells whether an event is not about the job and may explain what happened to it. */
  private static boolean surrounds(LoggedEvent event, Set<String> executors) {
    int number = event.number();
    boolean ofOwner =
        number == BatchLogEvent.OWNERSHIP_WON.number()
            || number == BatchLogEvent.OWNERSHIP_LOST.number()
            || number == BatchLogEvent.OWNING.number();
    boolean ofExecutor =
        number == BatchLogEvent.EXECUTOR_SILENT.number()
            || number == BatchLogEvent.EXECUTOR_LEAVING.number()
            || number == BatchLogEvent.EXECUTOR_GONE.number()
            || number == BatchLogEvent.EXECUTOR_RESTARTED.number()
            || number == BatchLogEvent.EXECUTOR_RESTED.number()
            || number == BatchLogEvent.WORK_PACED.number();
    return ofOwner || (ofExecutor && executors.stream().anyMatch(event.message()::contains));
  }

  private static List<Stage> stages(List<LoggedEvent> own) {
    List<Stage> stages = new ArrayList<>();
    for (int i = 1; i < own.size(); i++) {
      long millis = own.get(i).millis() - own.get(i - 1).millis();
      stages.add(new Stage(waitedFor(own.get(i - 1), own.get(i)), millis));
    }
    return stages;
  }

  /** Names what passed between two events of a job by their kinds. */
  private static String waitedFor(LoggedEvent before, LoggedEvent after) {
    if (after.number() == BatchLogEvent.RUN_PLACED.number()) {
      return "waited for room";
    }
    if (after.number() == BatchLogEvent.RUN_STARTED.number()) {
      return "the placement was stored and the start was ordered";
    }
    if (after.number() == BatchLogEvent.JOB_ACCEPTED.number()) {
      return "refused or undecided, until the caller came back";
    }
    if (after.number() == BatchLogEvent.RUN_LOST.number()) {
      return "an executor was silent until its lease had expired, or rejected the start";
    }
    boolean stopping = before.number() == BatchLogEvent.RUN_STOPPING.number();
    return stopping ? "runs were being stopped" : WORK;
  }

  /** Returns the events in the order of their times; empty if no line names the job. */
  public List<LoggedEvent> events() {
    return events;
  }

  /** Returns the stretches between the job's events, in order. */
  public List<Stage> stages() {
    return stages;
  }

  /** Returns the longest stretch between two events of the job; absent with fewer than two. */
  public Optional<Stage> longestStage() {
    return stages.stream().max(Comparator.comparingLong(Stage::millis));
  }
}
