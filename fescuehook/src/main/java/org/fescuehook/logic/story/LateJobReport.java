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
 * Finds the jobs of a log that ended later than their objective, or did not end, and the main cause
 * of each delay. Objectives are the times logged on acceptance, which rest on the estimated run
 * times.
 */
public final class LateJobReport {

  private static final Pattern ACCEPTED_MESSAGE =
      Pattern.compile(
          "Job (\\S+) accepted: queue (\\S+) .* work (\\d+) core-s chain \\d+ ms objective (\\d+) ms");
  private static final Pattern ENDED_MESSAGE =
      Pattern.compile("Job (\\S+) ended (\\S+) after (\\d+) ms");

  private static final String LONG_WORK = "its work took longer than estimated";

  private final int jobs;
  private final List<LateJob> late;

  /**
   * A job that ended after its objective, or did not end in the log.
   *
   * @param id the job
   * @param queue its queue
   * @param coreSeconds its estimated work in core seconds
   * @param lateMillis time by which its end, or the end of the log if it did not end, exceeds its
   *     objective
   * @param ended whether it ended within the log
   * @param cause the longest stage other than work, if it lasted at least half of {@code
   *     lateMillis}; otherwise that the work took longer than estimated
   */
  public record LateJob(
      String id, String queue, long coreSeconds, long lateMillis, boolean ended, String cause) {}

  /**
   * Delay of the late jobs of a queue that have the same cause.
   *
   * @param jobs number of jobs
   * @param lateMillis sum of the times by which they exceeded their objectives
   */
  public record LostTime(String queue, String cause, int jobs, long lateMillis) {}

  private LateJobReport(int jobs, List<LateJob> late) {
    this.jobs = jobs;
    this.late = List.copyOf(late);
  }

  /** Evaluates all jobs whose acceptance is in the log. The events may be in any order. */
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
      Matcher end = ENDED_MESSAGE.matcher(event.message());
      if (event.number() == BatchLogEvent.JOB_ENDED.number() && end.find()) {
        durations.put(end.group(1), Long.valueOf(end.group(3)));
      }
    }
    List<LateJob> late = new ArrayList<>();
    for (Map.Entry<String, LoggedEvent> entry : accepted.entrySet()) {
      String id = entry.getKey();
      Optional<Long> ended = Optional.ofNullable(durations.get(id));
      long durationMillis = ended.orElse(last - entry.getValue().millis());
      late(entry.getValue(), durationMillis, ended.isPresent(), byJob.get(id)).ifPresent(late::add);
    }
    late.sort(Comparator.comparingLong(LateJob::coreSeconds).reversed());
    return new LateJobReport(accepted.size(), late);
  }

  /** Returns the id of the job that an event about a job or a run starts with. */
  private static Optional<String> job(String message) {
    String[] words = message.split(" ", 3);
    boolean named = words.length > 1 && (words[0].equals("Job") || words[0].equals("Run"));
    return named ? Optional.of(words[1].split("\\.", 2)[0]) : Optional.empty();
  }

  private static Optional<LateJob> late(
      LoggedEvent acceptance, long durationMillis, boolean ended, List<LoggedEvent> jobEvents) {
    Matcher matcher = ACCEPTED_MESSAGE.matcher(acceptance.message());
    if (!matcher.find()) {
      return Optional.empty();
    }
    long lateMillis = durationMillis - Long.parseLong(matcher.group(4));
    if (lateMillis <= 0) {
      return Optional.empty();
    }
    String id = matcher.group(1);
    String cause =
        JobTimeline.of(id, jobEvents).stages().stream()
            .filter(stage -> !stage.name().equals(JobTimeline.WORK))
            .max(Comparator.comparingLong(JobTimeline.Stage::millis))
            .filter(stage -> stage.millis() * 2 >= lateMillis)
            .map(JobTimeline.Stage::name)
            .orElse(LONG_WORK);
    long work = Long.parseLong(matcher.group(3));
    return Optional.of(new LateJob(id, matcher.group(2), work, lateMillis, ended, cause));
  }

  /** Returns the number of jobs whose acceptance is in the log. */
  public int jobs() {
    return jobs;
  }

  /** Returns the late jobs in descending order of their work. */
  public List<LateJob> late() {
    return late;
  }

  /**
   * Returns the delays summed by queue and cause in descending order. Together they cover all late
   * jobs.
   */
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
