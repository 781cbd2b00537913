package org.fescuehook.logic.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.logic.batch.BatchLogEvent;

/**
 * Where the jobs of a log lost their time: each job that ended after its objective, or not at all,
 * with the stage that took longest beside its work. Objectives are by the estimates.
 */
public final class LateJobReport {

  private static final Pattern ACCEPTED =
      Pattern.compile(
          "Job (\\S+) accepted: queue (\\S+) .* work (\\d+) core-s chain \\d+ ms objective (\\d+) ms");
  private static final Pattern ENDED = Pattern.compile("Job (\\S+) ended (\\S+) after (\\d+) ms");

  private static final String LONG_WORK = "its work took longer than estimated";

  private final int jobs;
  private final List<LateJob> late;

  /**
   * A job that ended after its objective, or did not end in the log.
   *
   * @param id the job
   * @param queue its queue
   * @param coreSeconds its work by its estimate
   * @param lateMillis time beyond its objective, until its end or the end of the log
   * @param ended whether it ended
   * @param cause the stage beside work that took longest, if it took half of that time or more;
   *     else its work took longer than its estimate
   */
  public record LateJob(
      String id, String queue, long coreSeconds, long lateMillis, boolean ended, String cause) {}

  /**
   * What late jobs of a queue lost to one cause.
   *
   * @param jobs how many jobs
   * @param lateMillis time beyond their objectives together
   */
  public record LostTime(String queue, String cause, int jobs, long lateMillis) {}

  private LateJobReport(int jobs, List<LateJob> late) {
    this.jobs = jobs;
    this.late = List.copyOf(late);
  }

  /** Tells the story of all jobs that a log has accepted; events may come in any order. */
  public static LateJobReport of(List<LoggedEvent> log) {
    Map<String, List<LoggedEvent>> byJob = new HashMap<>();
    Map<String, LoggedEvent> accepted = new LinkedHashMap<>();
    Map<String, Long> durations = new HashMap<>();
    long last = 0;
    for (LoggedEvent event : log) {
      last = Math.max(last, event.millis());
      Optional<String> job = job(event.message());
      job.ifPresent(id -> byJob.computeIfAbsent(id, same -> new ArrayList<>()).add(event));
      if (event.number() == BatchLogEvent.JOB_ACCEPTED.number()) {
        job.ifPresent(id -> accepted.putIfAbsent(id, event));
      }
      Matcher end = ENDED.matcher(event.message());
      if (event.number() == BatchLogEvent.JOB_ENDED.number() && end.find()) {
        durations.put(end.group(1), Long.valueOf(end.group(3)));
      }
    }
    List<LateJob> late = new ArrayList<>();
    for (Map.Entry<String, LoggedEvent> entry : accepted.entrySet()) {
      String id = entry.getKey();
      Optional<Long> ended = Optional.ofNullable(durations.get(id));
      long took = ended.orElse(last - entry.getValue().millis());
      late(entry.getValue(), took, ended.isPresent(), byJob.get(id)).ifPresent(late::add);
    }
    late.sort(Comparator.comparingLong(LateJob::coreSeconds).reversed());
    return new LateJobReport(accepted.size(), late);
  }

  /** Returns the job that an event of a job or of one of its runs names first. */
  private static Optional<String> job(String message) {
    String[] words = message.split(" ", 3);
    boolean named = words.length > 1 && (words[0].equals("Job") || words[0].equals("Run"));
    return named ? Optional.of(words[1].split("\\.", 2)[0]) : Optional.empty();
  }

  private static Optional<LateJob> late(
      LoggedEvent acceptance, long took, boolean ended, List<LoggedEvent> own) {
    Matcher matcher = ACCEPTED.matcher(acceptance.message());
    if (!matcher.find()) {
      return Optional.empty();
    }
    long over = took - Long.parseLong(matcher.group(4));
    if (over <= 0) {
      return Optional.empty();
    }
    String id = matcher.group(1);
    String cause =
        JobTimeline.of(id, own).stages().stream()
            .filter(stage -> !stage.name().equals(JobTimeline.WORK))
            .max(Comparator.comparingLong(JobTimeline.Stage::millis))
            .filter(stage -> stage.millis() * 2 >= over)
            .map(JobTimeline.Stage::name)
            .orElse(LONG_WORK);
    long work = Long.parseLong(matcher.group(3));
    return Optional.of(new LateJob(id, matcher.group(2), work, over, ended, cause));
  }

  /** Returns how many jobs the log has accepted. */
  public int jobs() {
    return jobs;
  }

  /** Returns the late jobs, those with the most work first. */
  public List<LateJob> late() {
    return late;
  }

  /** Returns what was lost by queue and cause, the most time first; together all that was lost. */
  public List<LostTime> losses() {
    Map<String, LostTime> losses = new LinkedHashMap<>();
    for (LateJob job : late) {
      losses.merge(
          job.queue() + " " + job.cause(),
          new LostTime(job.queue(), job.cause(), 1, job.lateMillis()),
          (one, other) ->
              new LostTime(
                  one.queue(),
                  one.cause(),
                  one.jobs() + other.jobs(),
                  one.lateMillis() + other.lateMillis()));
    }
    return losses.values().stream()
        .sorted(Comparator.comparingLong(LostTime::lateMillis).reversed())
        .toList();
  }
}
