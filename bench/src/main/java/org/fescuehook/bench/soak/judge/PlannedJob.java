package org.fescuehook.bench.soak.judge;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.fescuehook.standins.platform.PlatformConfiguration;

/**
 * A job as its caller hands it in.
 *
 * @param id chosen by the caller
 * @param spec text that is passed to the tasks
 */
public record PlannedJob(String id, String spec, List<Step> steps, Queue queue) {

  /** Where a job is handed in. */
  public enum Queue {
    /** Jobs of the usual service, whose tasks need no accelerator. */
    USUAL(PlatformConfiguration.PATH_PREFIX),
    /** Jobs of the usual service whose starts need tickets of the advice service. */
    ADVISED(PlatformConfiguration.ADVISED_PREFIX),
    /** Urgent jobs of the usual service, with an accelerator for each task. */
    URGENT(PlatformConfiguration.URGENT_PREFIX),
    /** Jobs of the usual service with an accelerator for each slot and one attempt more. */
    RETRIED(PlatformConfiguration.RETRIED_PREFIX),
    /** Jobs of the usual service with an accelerator for each slot and one attempt less. */
    TWO_ATTEMPTS(PlatformConfiguration.TWO_ATTEMPTS_PREFIX),
    /** The same queue for jobs whose tasks need no accelerator. */
    TWO_ATTEMPTS_PLAIN(PlatformConfiguration.TWO_ATTEMPTS_PREFIX),
    /** Jobs of the small service, with an accelerator for each task. */
    SMALL(PlatformConfiguration.SMALL_PREFIX);

    private final String prefix;

    Queue(String prefix) {
      this.prefix = prefix;
    }

    /** Tells whether tasks of its jobs need an accelerator for each slot. */
    public boolean accelerated() {
      return switch (this) {
        case URGENT, SMALL, RETRIED, TWO_ATTEMPTS -> true;
        case USUAL, ADVISED, TWO_ATTEMPTS_PLAIN -> false;
      };
    }

    /** Returns after how many failed runs of a task its job fails. */
    int maxAttempts() {
      return switch (this) {
        case RETRIED -> PlatformConfiguration.MORE_ATTEMPTS;
        case TWO_ATTEMPTS, TWO_ATTEMPTS_PLAIN -> PlatformConfiguration.FEWER_ATTEMPTS;
        case USUAL, ADVISED, URGENT, SMALL -> PlatformConfiguration.MAX_ATTEMPTS;
      };
    }

    /** Returns the path prefix of its requests. */
    public String prefix() {
      return prefix;
    }
  }

  /** Creates a job of the usual queue. */
  public PlannedJob(String id, String spec, List<Step> steps) {
    this(id, spec, steps, Queue.USUAL);
  }

  /** How the text of a job begins whose tasks crash the executors that start them. */
  public static final String CRASHES = "crash:";

  /** Begins the rest of the text of a job whose starts need tickets. */
  public static final String ADVISED = " advised job ";

  /** Precedes the number of members in the text of a job whose tasks are a gang. */
  public static final String GANG = " gang:";

  /** Precedes how many of a thousand runs fail by their own fault in the text of a job. */
  public static final String FAILS = " fails:";

  /** What separates the time of a task from the number of tasks that share a slot. */
  public static final String SHARING = "/";

  /** What separates the time of a task from the number of slots that it takes. */
  public static final String SLOTS = "*";

  /** Copies the list. */
  public PlannedJob {
    steps = List.copyOf(steps);
  }

  /**
   * Tasks that are alike.
   *
   * @param count how many
   * @param dependsOn numbers of earlier steps that have to be done first
   * @param placement where its tasks may run
   */
  public record Step(int count, List<Integer> dependsOn, Placement placement) {
    /** Copies the list. */
    public Step {
      dependsOn = List.copyOf(dependsOn);
    }

    /** Creates a step whose tasks may run anywhere. */
    public Step(int count, List<Integer> dependsOn) {
      this(count, dependsOn, Placement.ANYWHERE);
    }
  }

  /**
   * Where the tasks of a step may run.
   *
   * @param label label that an executor must have; empty for any executor
   * @param maxPerExecutor largest number of tasks of the step on one executor; 0 for no limit
   */
  public record Placement(Optional<String> label, int maxPerExecutor) {
    /** Permits any placement. */
    public static final Placement ANYWHERE = new Placement(Optional.empty(), 0);
  }

  /** Tells whether its tasks crash the executors that start them. */
  public boolean crashes() {
    return spec.startsWith(CRASHES);
  }

  /** Tells whether the tasks of its only step are a gang. */
  public boolean gang() {
    return spec.contains(GANG);
  }

  /** Returns the tasks any of whose ends as done stands for a task. */
  List<String> doneWith(String task) {
    return gang() ? tasks() : List.of(task);
  }

  /** Returns how long each of its tasks works, in ms. */
  public int millis() {
    return Integer.parseInt(spec.split("[:/* ]", 3)[1]);
  }

  /** Returns how many of its tasks share a slot of an executor. */
  public int tasksPerSlot() {
    return tasksPerSlot(spec);
  }

  /** Returns how many slots of an executor each of its tasks takes, which may be a part of one. */
  public double slotsPerTask() {
    return slotsPerTask(spec);
  }

  static int tasksPerSlot(String spec) {
    return numberAfter(SHARING, spec);
  }

  static double slotsPerTask(String spec) {
    return (double) numberAfter(SLOTS, spec) / tasksPerSlot(spec);
  }

  /** Returns the number after a separator in the first word of a text; 1 if there is none. */
  private static int numberAfter(String separator, String spec) {
    String time = spec.split(" ", 2)[0];
    int at = time.indexOf(separator);
    return at < 0 ? 1 : Integer.parseInt(time.substring(at + 1));
  }

  /** Returns the names of the tasks of a step. */
  public List<String> tasks(int step) {
    return IntStream.range(0, steps.get(step).count())
        .mapToObj(index -> id + ".0." + step + "." + index)
        .toList();
  }

  /** Returns the names of all tasks. */
  public List<String> tasks() {
    return IntStream.range(0, steps.size()).boxed().flatMap(step -> tasks(step).stream()).toList();
  }

  /**
   * Returns the runs of all its tasks in the order of their starts.
   *
   * @param byTask the runs of all jobs, by the names of tasks
   */
  List<TaskRun> runs(Map<String, List<TaskRun>> byTask) {
    return tasks().stream()
        .flatMap(task -> byTask.getOrDefault(task, List.of()).stream())
        .sorted(Comparator.comparingLong(TaskRun::startMillis))
        .toList();
  }
}
