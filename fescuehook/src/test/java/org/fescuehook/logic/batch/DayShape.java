package org.fescuehook.logic.batch;

import java.util.List;
import java.util.Random;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ResourceVector;

/**
 * The proportions of a day: its kinds of jobs, its executors, and what goes wrong with them. The
 * figures are those of the users' site sheets.
 *
 * @param executors number of executors
 * @param rackSize executors in a rack
 * @param stopMillis how long a stop takes
 * @param organisations number of organisations; 0 for one whose guarantee is small
 * @param guaranteedShare share of all accelerators that is guaranteed to them together
 * @param narrow whether gangs have at most as many members as a rack has executors
 */
record DayShape(
    int executors,
    int rackSize,
    long stopMillis,
    int organisations,
    double guaranteedShare,
    boolean narrow,
    List<Kind> kinds,
    List<Trouble> troubles) {

  /** Speed of a slow executor, as a share of a sound one's. */
  static final double SLOW_SHARE = 0.16;

  private static final int[] GANG_ACCELERATORS = {1, 2, 4, 8, 8};
  private static final int PER_EXECUTOR = Declared.CAPACITY.accelerators();

  /** The users' proportions together, with the longer stops and without troubles. */
  static final DayShape BOTH =
      new DayShape(33, 8, 900, 0, 0, true, kindsOfJobs(0.5, 0.5), List.of());

  /** Humidade Viva on a day with slow, hanging and failing executors. */
  static final DayShape HUMIDADE_VIVA =
      new DayShape(33, 8, 200, 4, 0.62, false, kindsOfJobs(0.8, 0.6), sickExecutors());

  /** Lakeshore Loop on such a day: smaller racks and slower stops. */
  static final DayShape LAKESHORE =
      new DayShape(32, 6, 900, 4, 0.62, false, kindsOfJobs(0.8, 0.6), sickExecutors());

  /**
   * A kind of job.
   *
   * @param perSecond jobs a second at load 1
   * @param width mean number of tasks
   * @param millis mean work of a task
   * @param spread spread of the work; the standard deviation of its logarithm
   * @param estimateOff spread of the estimate about the work
   * @param unit demand of a task without its accelerators
   * @param checkpointing share of the jobs that save their progress
   * @param sameRack share of the gangs that have to share a rack
   * @param lateShare share of the worth that a late job still has
   * @param factor the objective is this many times the work
   * @param backlog jobs that wait when the day begins
   */
  record Kind(
      String queue,
      double perSecond,
      double width,
      double millis,
      double spread,
      double estimateOff,
      ResourceVector unit,
      double checkpointing,
      double sameRack,
      double worth,
      double lateShare,
      double factor,
      long targetMillis,
      int backlog) {}

  /** What goes wrong with a share of the executors for a while. */
  record Trouble(What kind, double share, long atMillis, long forMillis) {}

  /** What can go wrong with executors. */
  enum What {
    /** Work takes several times as long. */
    SLOW,
    /** Work stands still. */
    HANGING,
    /** All runs fail soon after their start. */
    FAILING
  }

  private static List<Kind> kindsOfJobs(double urgentSameRack, double normalSameRack) {
    ResourceVector urgent = new ResourceVector(7_500, 31_000, 0);
    ResourceVector normal = new ResourceVector(26_000, 110_000, 0);
    ResourceVector bulk = new ResourceVector(5_600, 16_000, 1);
    return List.of(
        new Kind(
            Declared.URGENT,
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
        new Kind(
            Declared.NORMAL,
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
        new Kind(Declared.BULK, 0.54, 16, 6100, 0.3, 0.5, bulk, 0.45, 0, 1, 0.3, 3, 3000, 9));
  }

  private static List<Trouble> sickExecutors() {
    return List.of(
        new Trouble(What.HANGING, 0.1, 11_000, 5_000),
        new Trouble(What.SLOW, 0.15, 22_000, 7_000),
        new Trouble(What.FAILING, 0.085, 34_000, 6_500));
  }

  BatchConfiguration configuration() {
    if (organisations == 0) {
      return Declared.configuration();
    }
    int each = (int) (executors * PER_EXECUTOR * guaranteedShare / organisations);
    return Declared.configuration(organisations, each);
  }

  /** Draws the key of the organisation that submits a job. */
  String drawKey(Random random) {
    return organisations == 0 ? Declared.KEY : Declared.keyOf(random.nextInt(organisations));
  }

  int drawAccelerators(Random random) {
    return GANG_ACCELERATORS[random.nextInt(GANG_ACCELERATORS.length)];
  }

  /** Returns the most members of a gang that fit into a rack. */
  int widestGang(ResourceVector member) {
    return narrow ? rackSize : rackSize * Declared.CAPACITY.fits(member);
  }
}
