package org.fescuehook.logic.batch;

import java.util.List;
import java.util.Random;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ResourceVector;

/**
 * Describes a workload: classes of jobs, the fleet, and the faults of executors. The figures are
 * those of the users' site sheets.
 *
 * @param executors number of executors
 * @param rackSize executors in a rack
 * @param stopMillis how long a stop takes
 * @param organisations number of organisations; 0 for a single one with a small guarantee
 * @param guaranteedShare share of all accelerators that is guaranteed to the organisations together
 * @param narrowGangs whether a gang has at most as many members as a rack has executors
 * @param speeds speeds of the executors, equally frequent; a gang advances with its slowest member
 *     unless all are equal
 * @param longTaskShare share of the tasks that take {@link #LONG_TASK_FACTOR} times as long
 */
record WorkloadProfile(
    int executors,
    int rackSize,
    long stopMillis,
    int organisations,
    double guaranteedShare,
    boolean narrowGangs,
    List<JobClass> jobClasses,
    List<ExecutorFault> executorFaults,
    List<Double> speeds,
    double longTaskShare) {

  /** Speed of a slow executor relative to a healthy one. */
  static final double SLOW_EXECUTOR_SPEED = 0.16;

  /** How much longer a long task takes than the others of its step. */
  static final int LONG_TASK_FACTOR = 7;

  private static final int[] GANG_ACCELERATORS = {1, 2, 4, 8, 8};
  private static final int PER_EXECUTOR = TestFixtures.CAPACITY.accelerators();

  private static final List<Double> EQUAL = List.of(1.0);

  /** The workloads of both users combined, with the longer stop time and without faults. */
  static final WorkloadProfile COMBINED =
      new WorkloadProfile(33, 8, 900, 0, 0, true, createJobClasses(0.5, 0.5), List.of(), EQUAL, 0);

  /** A fleet with three speeds, without faults. */
  static final WorkloadProfile THREE_SPEEDS =
      new WorkloadProfile(
          48, 8, 900, 0, 0, true, createJobClasses(0.5, 0.5), List.of(), List.of(0.6, 1.0, 1.6), 0);

  /** A fleet of equal executors, where one task in thirty-three takes much longer. */
  static final WorkloadProfile LONG_TAIL =
      new WorkloadProfile(
          33, 8, 900, 0, 0, true, createJobClasses(0.5, 0.5), List.of(), EQUAL, 0.03);

  /** Workload of Humidade Viva with slow, hanging and failing executors. */
  static final WorkloadProfile HUMIDADE_VIVA =
      new WorkloadProfile(
          33, 8, 200, 4, 0.62, false, createJobClasses(0.8, 0.6), createExecutorFaults(), EQUAL, 0);

  /** Workload of Lakeshore Loop with the same faults, smaller racks and slower stops. */
  static final WorkloadProfile LAKESHORE =
      new WorkloadProfile(
          32, 6, 900, 4, 0.62, false, createJobClasses(0.8, 0.6), createExecutorFaults(), EQUAL, 0);

  /**
   * A class of jobs.
   *
   * @param perSecond jobs per second at load 1
   * @param width mean number of tasks
   * @param millis mean work of a task
   * @param workSpread standard deviation of the logarithm of the work
   * @param estimateSpread standard deviation of the logarithm of the estimate relative to the work
   * @param unit resources of a task without its accelerators
   * @param checkpointing share of jobs that save checkpoints
   * @param sameRack share of gangs that run slowly unless they share a rack
   * @param value value of a mean job completed in time, relative to the other classes
   * @param lateValueShare share of its value that a late job still earns
   * @param objectiveFactor a job is in time within this many times its work, plus {@code
   *     targetMillis}
   * @param backlog number of jobs that are waiting at the start
   */
  record JobClass(
      String queue,
      double perSecond,
      double width,
      double millis,
      double workSpread,
      double estimateSpread,
      ResourceVector unit,
      double checkpointing,
      double sameRack,
      double value,
      double lateValueShare,
      double objectiveFactor,
      long targetMillis,
      int backlog) {}

  /** A fault of a share of the executors for a limited time. */
  record ExecutorFault(FaultKind faultKind, double share, long atMillis, long durationMillis) {}

  /** Kinds of faults of executors. */
  enum FaultKind {
    /** Work takes several times as long. */
    SLOW,
    /** Work makes no progress. */
    HANGING,
    /** Every run fails soon after its start. */
    FAILING
  }

  private static List<JobClass> createJobClasses(double urgentSameRack, double normalSameRack) {
    ResourceVector urgent = new ResourceVector(7_500, 31_000, 0);
    ResourceVector normal = new ResourceVector(26_000, 110_000, 0);
    ResourceVector bulk = new ResourceVector(5_600, 16_000, 1);
    return List.of(
        new JobClass(
            TestFixtures.URGENT,
            1.75,
            3.4,
            2500,
            0.5,
            0.2,
            urgent,
            0,
            urgentSameRack,
            4,
            0.2,
            1.5,
            250,
            0),
        new JobClass(
            TestFixtures.NORMAL,
            0.46,
            5,
            8500,
            0.3,
            0.5,
            normal,
            0.45,
            normalSameRack,
            3,
            0.3,
            3,
            1000,
            5),
        new JobClass(
            TestFixtures.BULK, 0.54, 16, 6100, 0.3, 0.5, bulk, 0.45, 0, 1, 0.3, 3, 3000, 9));
  }

  private static List<ExecutorFault> createExecutorFaults() {
    return List.of(
        new ExecutorFault(FaultKind.HANGING, 0.1, 11_000, 5_000),
        new ExecutorFault(FaultKind.SLOW, 0.15, 22_000, 7_000),
        new ExecutorFault(FaultKind.FAILING, 0.085, 34_000, 6_500));
  }

  BatchConfiguration configuration() {
    if (organisations == 0) {
      return TestFixtures.configuration();
    }
    int each = (int) (executors * PER_EXECUTOR * guaranteedShare / organisations);
    return TestFixtures.configuration(organisations, each);
  }

  /** Draws the API key of the organisation that submits a job. */
  String drawKey(Random random) {
    return organisations == 0
        ? TestFixtures.KEY
        : TestFixtures.keyOf(random.nextInt(organisations));
  }

  int drawAccelerators(Random random) {
    return GANG_ACCELERATORS[random.nextInt(GANG_ACCELERATORS.length)];
  }

  /** Returns the largest number of gang members that fit into a rack. */
  int widestGang(ResourceVector member) {
    return narrowGangs ? rackSize : rackSize * TestFixtures.CAPACITY.fits(member);
  }
}
