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
import org.fescuehook.logic.batch.call.RefusalCause;

/**
 * Timeline of one job: its own events, and those events of its executors, of the fleet and changes
 * of the owner that were logged between its first and last event. Also lists the stages between the
 * job's own events, which show what it spent its time on.
 */
public final class JobTimeline {

  /** Name of a stage in which the job was doing its work. */
  public static final String WORK = "work";

  /** Part of the cause of a stop for a maintenance wave. */
  private static final String MAINTENANCE = "maintenance of machine";

  private static final Pattern EXECUTOR_OF_RUN =
      Pattern.compile("(?:placed )?on ([^\\s@]+?)(?:@\\d+)?(?: in rack|:| |$)");

  private final List<LoggedEvent> events;
  private final List<Stage> stages;

  /**
   * Time between two consecutive events of the job.
   *
   * @param name what the job waited for or did in this time
   */
  public record Stage(String name, long millis) {}

  private JobTimeline(List<LoggedEvent> events, List<Stage> stages) {
    this.events = List.copyOf(events);
    this.stages = List.copyOf(stages);
  }

  /**
   * Creates the timeline of a job.
   *
   * @param id the job
   * @param log events of all VMs, in any order
   */
  public static JobTimeline of(String id, List<LoggedEvent> log) {
    List<LoggedEvent> jobEvents =
        log.stream()
            .filter(event -> event.message().contains(id))
            .sorted(Comparator.comparingLong(LoggedEvent::millis))
            .toList();
    if (jobEvents.isEmpty()) {
      return new JobTimeline(List.of(), List.of());
    }
    Set<String> executors = new HashSet<>();
    jobEvents.forEach(event -> executor(event).ifPresent(executors::add));
    long first = jobEvents.getFirst().millis();
    long last = jobEvents.getLast().millis();
    List<LoggedEvent> all = new ArrayList<>(jobEvents);
    for (LoggedEvent event : log) {
      boolean during = event.millis() >= first && event.millis() <= last;
      if (during && !event.message().contains(id) && mayExplainDelay(event, executors)) {
        all.add(event);
      }
    }
    all.sort(Comparator.comparingLong(LoggedEvent::millis));
    return new JobTimeline(all, stages(jobEvents));
  }

  private static Optional<String> executor(LoggedEvent event) {
    boolean ofRun =
        event.number() == BatchLogEvent.RUN_PLACED.number()
            || event.number() == BatchLogEvent.RUN_ENDED.number();
    Matcher matcher = EXECUTOR_OF_RUN.matcher(event.message());
    return ofRun && matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /**
   * Tells whether an event is about the owner, evacuated failure domains, a wave of failures or one
   * of the job's executors and may so explain a delay.
   */
  private static boolean mayExplainDelay(LoggedEvent event, Set<String> executors) {
    int number = event.number();
    boolean ofOwner =
        number == BatchLogEvent.OWNERSHIP_WON.number()
            || number == BatchLogEvent.OWNERSHIP_LOST.number()
            || number == BatchLogEvent.OWNING.number();
    boolean ofFleet =
        number == BatchLogEvent.EVACUATIONS_CHANGED.number()
            || number == BatchLogEvent.FAILURE_WAVE.number();
    boolean ofExecutor =
        number == BatchLogEvent.EXECUTOR_SILENT.number()
            || number == BatchLogEvent.EXECUTOR_LEAVING.number()
            || number == BatchLogEvent.EXECUTOR_GONE.number()
            || number == BatchLogEvent.EXECUTOR_RESTARTED.number()
            || number == BatchLogEvent.EXECUTOR_RESTED.number()
            || number == BatchLogEvent.EXECUTOR_DOUBTED.number()
            || number == BatchLogEvent.EXECUTOR_TRUSTED.number()
            || number == BatchLogEvent.WORK_PACED.number()
            || number == BatchLogEvent.MACHINE_CLOSED.number()
            || number == BatchLogEvent.MAINTENANCE_CALLED.number();
    return ofOwner
        || ofFleet
        || (ofExecutor && executors.stream().anyMatch(event.message()::contains));
  }

  private static List<Stage> stages(List<LoggedEvent> jobEvents) {
    List<Stage> stages = new ArrayList<>();
    for (int i = 1; i < jobEvents.size(); i++) {
      long millis = jobEvents.get(i).millis() - jobEvents.get(i - 1).millis();
      stages.add(new Stage(stageName(jobEvents.get(i - 1), jobEvents.get(i)), millis));
    }
    return stages;
  }

  /** Returns the name of the stage between two events of a job, which depends on their kinds. */
  private static String stageName(LoggedEvent before, LoggedEvent after) {
    if (before.number() == BatchLogEvent.WAITS_FOR_EVACUATED_DOMAIN.number()) {
      return "waited for an evacuated failure domain";
    }
    if (before.number() == BatchLogEvent.JOB_DEFERRED.number()) {
      return "waited since its organisation used more than its share";
    }
    if (before.number() == BatchLogEvent.RESERVATION_MADE.number()) {
      return "waited for the capacity reserved for it";
    }
    if (before.number() == BatchLogEvent.JOB_REFUSED.number()) {
      boolean forLoad = before.message().contains(" refused: " + RefusalCause.BACKLOG);
      return forLoad
          ? "refused for load, until the caller came back"
          : "refused, until the caller came back";
    }
    if (after.number() == BatchLogEvent.RUN_PLACED.number()
        || after.number() == BatchLogEvent.JOB_DEFERRED.number()
        || after.number() == BatchLogEvent.RESERVATION_MADE.number()
        || after.number() == BatchLogEvent.WAITS_FOR_EVACUATED_DOMAIN.number()) {
      return "waited for room";
    }
    if (after.number() == BatchLogEvent.RUN_STARTED.number()) {
      return "the placement was stored and the start was ordered";
    }
    boolean placed = before.number() == BatchLogEvent.RUN_PLACED.number();
    if (after.number() == BatchLogEvent.JOB_ACCEPTED.number() && placed) {
      return "the job was stored with its placement";
    }
    if (after.number() == BatchLogEvent.JOB_ACCEPTED.number()) {
      return "refused or undecided, until the caller came back";
    }
    if (after.number() == BatchLogEvent.RUN_LOST.number()) {
      return "an executor was silent until its lease had expired, or rejected the start";
    }
    boolean stopping = before.number() == BatchLogEvent.RUN_STOPPING.number();
    if (stopping && before.message().contains(MAINTENANCE)) {
      return "runs were stopped for the maintenance of their machine";
    }
    return stopping ? "runs were being stopped" : WORK;
  }

  /** Returns the events in the order of their times; empty if no event names the job. */
  public List<LoggedEvent> events() {
    return events;
  }

  /** Returns the stages between the job's events, in order. */
  public List<Stage> stages() {
    return stages;
  }

  /** Returns the longest stage; absent if the job has fewer than two events. */
  public Optional<Stage> longestStage() {
    return stages.stream().max(Comparator.comparingLong(Stage::millis));
  }
}
