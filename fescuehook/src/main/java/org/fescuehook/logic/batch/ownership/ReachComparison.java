package org.fescuehook.logic.batch.ownership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;

/**
 * Compares which executors this VM and an owner reach. An owner that reports unreachable executors
 * may be cut off from them. This VM then probes some of them, and if it reaches them also some of
 * those that the owner reaches, since it may be cut off from others itself.
 */
final class ReachComparison {

  /**
   * Time over which the probes of all VMs are spread, so that few of them probe before the first
   * one has taken over.
   */
  private static final long SPREAD_NANOS = Duration.ofMillis(500).toNanos();

  /** Least age of an epoch in which this VM probes, and least time between two comparisons. */
  private static final long PAUSE_NANOS = Duration.ofSeconds(5).toNanos();

  /** Factor of the pause if the owner does not reach one or two executors only. */
  private static final int FEW_PAUSE_FACTOR = 2;

  private static final int FEW = 2;

  /**
   * The pause doubles with each change of the owner, as each VM may be cut off from other
   * executors; then no VM stays the better one.
   */
  private static final int MAX_DOUBLINGS = 4;

  /** Time without a change of the owner after which changes no longer count. */
  private static final long CHANGES_FORGOTTEN_NANOS = Duration.ofMinutes(3).toNanos();

  /** Time for which the result of a comparison is valid. */
  private static final long VALIDITY_NANOS = Duration.ofSeconds(3).toNanos();

  /** Least number of further executors, and their least share, that justify a take-over. */
  private static final double MIN_GAIN = 1;

  private static final double MIN_GAIN_SHARE = 0.01;

  /**
   * Least gain as a share of the executors that the owner does not reach. If this VM reaches only
   * some of them, connections are lost everywhere.
   */
  private static final double MIN_REGAINED_SHARE = 2.0 / 3;

  private final OwnerIdentity self;
  private OptionalLong epoch = OptionalLong.empty();
  private long epochSeenAt;
  private int recentChanges;
  private Optional<ReachReport> report = Optional.empty();
  private long reportedSince;
  private OptionalLong probedAt = OptionalLong.empty();
  private long lastNumber;

  /** The report that the probe in flight is about. */
  private Optional<ReachReport> probing = Optional.empty();

  /** How many of the executors that the owner does not reach were reached, once that is known. */
  private OptionalInt gained = OptionalInt.empty();

  private OptionalLong reachesMoreSince = OptionalLong.empty();

  ReachComparison(OwnerIdentity self) {
    this.self = self;
  }

  /** Handles the newest record of the owner. */
  void ownerSeen(OwnerRecord owner, BatchContext context) {
    if (epoch.isEmpty() || epoch.getAsLong() != owner.epoch()) {
      boolean forgotten = context.nowNanos() - epochSeenAt > CHANGES_FORGOTTEN_NANOS;
      recentChanges = epoch.isEmpty() || forgotten ? 0 : recentChanges + 1;
      epoch = OptionalLong.of(owner.epoch());
      epochSeenAt = context.nowNanos();
      probedAt = OptionalLong.empty();
      discard();
    }
    boolean canReplace =
        !owner.vm().equals(self.vm())
            && !ProcessingPower.muchStronger(owner.milliCores(), self.milliCores());
    Optional<ReachReport> newest =
        owner.reach().filter(reach -> canReplace && !reach.unreachableSample().isEmpty());
    if (newest.isEmpty()) {
      discard();
    } else if (report.isEmpty()) {
      reportedSince = context.nowNanos();
    }
    report = newest;
  }

  /** Discards what was found out about a report that no longer holds. */
  private void discard() {
    report = Optional.empty();
    probing = Optional.empty();
    reachesMoreSince = OptionalLong.empty();
  }

  /** Tells whether the owner reports unreachable executors, so that a probe will be due. */
  boolean wanted() {
    return report.isPresent();
  }

  /** Probes executors if the owner reports unreachable ones and a comparison is due. */
  void step(BatchContext context) {
    if (report.isEmpty() || !due(report.get(), context.nowNanos())) {
      return;
    }
    probedAt = OptionalLong.of(context.nowNanos());
    probing = report;
    gained = OptionalInt.empty();
    probe(report.get().unreachableSample(), context);
  }

  private boolean due(ReachReport reported, long nowNanos) {
    long pause = PAUSE_NANOS << Math.min(recentChanges, MAX_DOUBLINGS);
    long adapted = reported.unreachable() <= FEW ? FEW_PAUSE_FACTOR * pause : pause;
    return nowNanos - probedAt.orElse(epochSeenAt) >= adapted
        && nowNanos - reportedSince >= spreadNanos();
  }

  private long spreadNanos() {
    int hash = (self.vm() + self.incarnation() + epoch.orElse(0)).hashCode();
    return Math.floorMod(hash * 0x9e3779b97f4a7c15L, SPREAD_NANOS);
  }

  private void probe(List<InetSocketAddress> addresses, BatchContext context) {
    lastNumber++;
    context.add(new BatchCommand.ProbeExecutors(lastNumber, addresses));
  }

  /** Handles the outcome of a probe. */
  void probed(long number, Set<InetSocketAddress> reached, BatchContext context) {
    if (number != lastNumber || probing.isEmpty()) {
      return;
    }
    ReachReport compared = probing.get();
    if (gained.isPresent()) {
      compared(compared, gained.getAsInt(), count(compared.reachableSample(), reached), context);
      return;
    }
    int regained = count(compared.unreachableSample(), reached);
    List<InetSocketAddress> others = compared.reachableSample();
    if (others.isEmpty() || !justifies(compared, regained, others.size())) {
      compared(compared, regained, 0, context);
      return;
    }
    gained = OptionalInt.of(regained);
    probe(others, context);
  }

  private static int count(List<InetSocketAddress> sample, Set<InetSocketAddress> reached) {
    return (int) sample.stream().filter(reached::contains).count();
  }

  private void compared(ReachReport compared, int regained, int kept, BatchContext context) {
    probing = Optional.empty();
    boolean more = justifies(compared, regained, kept);
    reachesMoreSince = more ? OptionalLong.of(context.nowNanos()) : OptionalLong.empty();
    context.count("fescuehook.batch.reach.compared", "result", more ? "more" : "not-more");
    context.note(
        BatchLogEvent.REACH_COMPARED,
        regained,
        compared.unreachableSample().size(),
        compared.unreachable(),
        kept,
        compared.reachableSample().size(),
        compared.reachable(),
        more ? "more" : "not more");
  }

  /**
   * Tells whether this VM reaches so many more executors that it takes over.
   *
   * @param regained how many of the sample that the owner does not reach this VM reaches
   * @param kept how many of the sample that the owner reaches this VM reaches
   */
  private static boolean justifies(ReachReport report, int regained, int kept) {
    double gain = report.unreachable() * share(regained, report.unreachableSample().size());
    double loss = report.reachable() * (1 - share(kept, report.reachableSample().size()));
    double needed =
        Math.max(MIN_GAIN, MIN_GAIN_SHARE * (report.unreachable() + report.reachable()));
    return gain - loss >= Math.max(needed, MIN_REGAINED_SHARE * report.unreachable());
  }

  private static double share(int part, int whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }

  /** Tells whether a comparison has shown that this VM reaches more executors than the owner. */
  boolean reachesMore(long nowNanos) {
    return reachesMoreSince.isPresent() && nowNanos - reachesMoreSince.getAsLong() < VALIDITY_NANOS;
  }
}
