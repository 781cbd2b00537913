package org.fescuehook.bench.policy;

import java.util.SplittableRandom;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;

/**
 * A kind of job.
 *
 * @param weight how often it is drawn, relative to others
 * @param members possible numbers of members, each equally often
 * @param perMember resources of a member
 * @param maxRacks rack bound; 0 for none
 * @param medianSeconds median of the true run time
 * @param spread standard deviation of its logarithm
 * @param urgent whether it is urgent
 * @param checkpointableShare share of jobs that can checkpoint
 */
record JobMix(
    double weight,
    int[] members,
    Capacity perMember,
    int maxRacks,
    double medianSeconds,
    double spread,
    boolean urgent,
    double checkpointableShare) {

  private static final long LEAST_SECONDS = 60;

  Shape shape(SplittableRandom random) {
    int count = members[random.nextInt(members.length)];
    return new Shape(count, perMember, count == 1 ? 0 : maxRacks);
  }

  long runSeconds(SplittableRandom random, long most) {
    double drawn = medianSeconds * Math.exp(spread * random.nextGaussian());
    return Math.clamp(Math.round(drawn), LEAST_SECONDS, most);
  }
}
