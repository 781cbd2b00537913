package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.bench.soak.judge.PlannedJob;
import org.fescuehook.standins.platform.PlatformConfiguration;

/**
 * Draws, in half of the mixed runs, calls of other callers who chose the id of a job for a job of
 * their own: in another queue, with the key of another organisation, or both.
 */
final class SharedIds {

  /** Part of the jobs whose id others use. */
  private static final double SHARED = 0.2;

  private static final int MOST_CALLS = 4;

  /** Long enough for take-overs between the acceptance and a call. */
  private static final int LATEST_MILLIS = 20_000;

  private static final long SEED = 0x736861726564L;

  private final SplittableRandom random;
  private final int callers;
  private final double share;

  /**
   * Creates draws for a run.
   *
   * @param callers number of callers, each of which keeps to a VM
   */
  SharedIds(long seed, SoakSizes.Plan plan, int callers) {
    this.callers = callers;
    this.random = new SplittableRandom(seed ^ SEED);
    this.share = plan == SoakSizes.Plan.MIXED && random.nextBoolean() ? SHARED : 0;
  }

  /**
   * A caller who chose the id of a job for a job of its own.
   *
   * @param caller number of the caller, from 0
   * @param prefix path prefix of the queue that it calls
   * @param cancelsFirst whether it sends a cancel as the job is handed in
   * @param calls its calls after the job was accepted
   */
  record Other(int caller, String prefix, String key, boolean cancelsFirst, List<Call> calls) {}

  /** A call some time after the acceptance of the job. */
  record Call(Kind kind, long afterMillis) {}

  /** Draws another caller who uses the id of a job; mostly none. */
  Optional<Other> draw(PlannedJob job) {
    if (random.nextDouble() >= share) {
      return Optional.empty();
    }
    boolean sameQueue = random.nextInt(3) == 0;
    boolean sameOrganisation = !sameQueue && random.nextBoolean();
    List<Call> calls = new ArrayList<>();
    int count = 1 + random.nextInt(MOST_CALLS);
    for (int i = 0; i < count; i++) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      calls.add(new Call(kind, random.nextInt(LATEST_MILLIS)));
    }
    return Optional.of(
        new Other(
            random.nextInt(callers),
            sameQueue ? job.queue().prefix() : otherPrefix(job),
            sameOrganisation ? PlatformConfiguration.KEY : PlatformConfiguration.OTHER_KEY,
            random.nextInt(3) == 0,
            calls));
  }

  private static String otherPrefix(PlannedJob job) {
    return job.queue() == PlannedJob.Queue.URGENT
        ? PlatformConfiguration.PATH_PREFIX
        : PlatformConfiguration.URGENT_PREFIX;
  }
}
