package org.fescuehook.logic.batch.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The jobs that the owner has refused and whose callers are expected to return. It tells how often
 * and since when each was refused, so that who has been refused for the longest time is admitted
 * first. Its size is bounded, even if callers never return.
 */
final class RefusedJobs {

  /** Most jobs that are remembered; this many take about 0.5 MB of a heap of 48 MB. */
  static final int MAX_JOBS = 2048;

  /**
   * Time after its expected return for which a job is remembered. A caller waits up to 3 s for each
   * answer, and VMs repeat its call meanwhile.
   */
  private static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

  /** Time before and after its expected return for which capacity is kept for a job. */
  private static final long RESERVATION_NANOS = Duration.ofSeconds(2).toNanos();

  private final Map<String, RefusedJob> jobs = new LinkedHashMap<>();

  /**
   * A refused job.
   *
   * @param demand what it asks of the fleet; empty if it was not refused for load
   * @param firstAt when it was first refused, monotonic time
   * @param refusals how often it was refused
   * @param returnAt when its caller is expected to return, monotonic time
   * @param usefulNanos time from the first refusal after which it is of no use
   */
  record RefusedJob(
      String organisation,
      Optional<JobDemand> demand,
      long firstAt,
      int refusals,
      long returnAt,
      long usefulNanos) {

    /** Tells whether its result would be of no use any more. */
    boolean useless(long nowNanos) {
      return nowNanos - firstAt >= usefulNanos;
    }

    private boolean expected(long nowNanos) {
      return nowNanos - returnAt <= RESERVATION_NANOS
          && refusals < OutageRetries.CALLER_TRIES
          && !useless(nowNanos);
    }
  }

  /** Returns how often a job was refused. */
  int refusals(String id) {
    return Optional.ofNullable(jobs.get(id)).map(RefusedJob::refusals).orElse(0);
  }

  /** Returns what is known of a job; empty if it was not refused or is forgotten. */
  Optional<RefusedJob> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  int size() {
    return jobs.size();
  }

  /**
   * Records a refusal. If the memory is full, the organisation with the most refused jobs loses the
   * one that was refused least recently, so that no organisation displaces the jobs of others.
   *
   * @return the organisation that lost a job; empty if none did
   */
  Optional<String> refused(
      String id,
      String organisation,
      Optional<JobDemand> demand,
      long nowNanos,
      long returnAt,
      long usefulNanos) {
    Optional<RefusedJob> earlier = find(id);
    long firstAt = earlier.map(RefusedJob::firstAt).orElse(nowNanos);
    // Moves the job to the end of the order.
    jobs.remove(id);
    int refusals = refusals(earlier) + 1;
    jobs.put(id, new RefusedJob(organisation, demand, firstAt, refusals, returnAt, usefulNanos));
    return jobs.size() > MAX_JOBS ? Optional.of(evictOne()) : Optional.empty();
  }

  private static int refusals(Optional<RefusedJob> job) {
    return job.map(RefusedJob::refusals).orElse(0);
  }

  private String evictOne() {
    Map<String, Integer> counts = new HashMap<>();
    String largest = "";
    for (RefusedJob job : jobs.values()) {
      int count = counts.merge(job.organisation(), 1, Integer::sum);
      if (count > counts.getOrDefault(largest, 0)) {
        largest = job.organisation();
      }
    }
    Iterator<RefusedJob> oldestFirst = jobs.values().iterator();
    while (oldestFirst.hasNext()) {
      if (oldestFirst.next().organisation().equals(largest)) {
        oldestFirst.remove();
        break;
      }
    }
    return largest;
  }

  /**
   * Records that a job is admitted, and returns what was known of it; empty if it was not refused.
   * It is remembered for a while, since the store may turn out not to have stored it.
   */
  Optional<RefusedJob> admitted(String id, long nowNanos) {
    Optional<RefusedJob> known = find(id);
    known.ifPresent(
        job ->
            jobs.put(
                id,
                new RefusedJob(
                    job.organisation(),
                    Optional.empty(),
                    job.firstAt(),
                    job.refusals(),
                    nowNanos,
                    job.usefulNanos())));
    return known;
  }

  /** Forgets the jobs whose callers have not returned for a while. */
  void expire(long nowNanos) {
    jobs.values().removeIf(job -> nowNanos - job.returnAt() > RETENTION_NANOS);
  }

  /**
   * Returns the work of the refused jobs that go before a job: they have been refused for longer,
   * are of the same or a better rank and compete for the same executors, and their callers are
   * still expected: they have a try left, and the work is still of use.
   *
   * @param firstAt since when the job has been refused, or the time now if it has not
   */
  HeldWork workBefore(String id, JobDemand job, long firstAt, long nowNanos) {
    double due = 0;
    double all = 0;
    for (Map.Entry<String, RefusedJob> entry : jobs.entrySet()) {
      RefusedJob other = entry.getValue();
      boolean expected = other.expected(nowNanos);
      boolean longer = other.firstAt() - firstAt < 0 && !entry.getKey().equals(id);
      if (expected && longer && other.demand().filter(demand -> before(demand, job)).isPresent()) {
        double work = other.demand().get().work();
        all += work;
        due += other.returnAt() - nowNanos <= RESERVATION_NANOS ? work : 0;
      }
    }
    return new HeldWork(due, all);
  }

  private static boolean before(JobDemand demand, JobDemand job) {
    boolean worse = job.rank().before(demand.rank());
    return !worse && job.competesWith(demand.pool(), demand.label());
  }
}
