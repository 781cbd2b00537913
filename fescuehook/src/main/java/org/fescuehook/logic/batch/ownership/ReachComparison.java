package org.fescuehook.logic.batch.ownership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;

/**
 * Compares which executors this VM and an owner reach. An owner that reports unreachable executors
 * may be cut off from them. This VM then probes some of them, and some of those that the owner
 * reaches, since it may be cut off from others itself.
 */
final class ReachComparison {

  /**
   * Time over which the probes of all VMs are spread, so that few of them probe before the first
   * one has taken over.
   */
  private static final long SPREAD_NANOS = Duration.ofMillis(500).toNanos();

  /** Least age of an epoch in which this VM probes, and least time between two probes. */
  private static final long PAUSE_NANOS = Duration.ofSeconds(5).toNanos();

  /**
   * The same while the owner does not reach one or two executors, which may be other ones for each
   * VM, so that ownership would move again and again.
   */
  private static final long FEW_PAUSE_NANOS = Duration.ofSeconds(10).toNanos();

  private static final int FEW = 2;

  /** Time for which the result of a probe is valid. */
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
  private Optional<ReachReport> report = Optional.empty();
  private long epochSeenAt;
  private OptionalLong probedAt = OptionalLong.empty();
  private long lastNumber;
  private Optional<ReachReport> probing = Optional.empty();
  private OptionalLong reachesMoreSince = OptionalLong.empty();

  ReachComparison(OwnerIdentity self) {
    this.self = self;
  }

  /** Handles the newest record of the owner. */
  void ownerSeen(OwnerRecord owner, BatchContext context) {
    if (epoch.isEmpty() || epoch.getAsLong() != owner.epoch()) {
      epoch = OptionalLong.of(owner.epoch());
      report = Optional.empty();
      probing = Optional.empty();
      reachesMoreSince = OptionalLong.empty();
      epochSeenAt = context.nowNanos() + spreadNanos(owner.epoch());
      probedAt = OptionalLong.empty();
    }
    boolean canReplace =
        !owner.vm().equals(self.vm())
            && !ProcessingPower.muchStronger(owner.milliCores(), self.milliCores());
    report = canReplace ? owner.reach() : Optional.empty();
  }

  private long spreadNanos(long ownerEpoch) {
    int hash = (self.vm() + self.incarnation() + ownerEpoch).hashCode();
    return Math.floorMod(hash * 0x9e3779b97f4a7c15L, SPREAD_NANOS);
  }

  /** Tells whether the owner reports unreachable executors, so that a probe will be due. */
  boolean wanted() {
    return report.filter(reported -> !reported.unreachableSample().isEmpty()).isPresent();
  }

  /** Probes executors if the owner reports unreachable ones and a probe is due. */
  void step(BatchContext context) {
    if (!wanted() || !due(report.get(), context.nowNanos())) {
      return;
    }
    probedAt = OptionalLong.of(context.nowNanos());
    probing = report;
    lastNumber++;
    List<InetSocketAddress> addresses = new ArrayList<>(report.get().unreachableSample());
    addresses.addAll(report.get().reachableSample());
    context.add(new BatchCommand.ProbeExecutors(lastNumber, addresses));
  }

  private boolean due(ReachReport reported, long nowNanos) {
    long pause = reported.unreachable() <= FEW ? FEW_PAUSE_NANOS : PAUSE_NANOS;
    return nowNanos - probedAt.orElse(epochSeenAt) >= pause;
  }

  /** Handles the outcome of a probe. */
  void probed(long number, Set<InetSocketAddress> reached, BatchContext context) {
    if (number != lastNumber || probing.isEmpty()) {
      return;
    }
    ReachReport compared = probing.get();
    probing = Optional.empty();
    long gained = compared.unreachableSample().stream().filter(reached::contains).count();
    long kept = compared.reachableSample().stream().filter(reached::contains).count();
    boolean more = reachesMore(compared, gained, kept);
    reachesMoreSince = more ? OptionalLong.of(context.nowNanos()) : OptionalLong.empty();
    context.count("fescuehook.batch.reach.compared", "result", more ? "more" : "not-more");
    context.note(
        BatchLogEvent.REACH_COMPARED,
        gained,
        compared.unreachableSample().size(),
        compared.unreachable(),
        kept,
        compared.reachableSample().size(),
        compared.reachable(),
        more ? "more" : "not more");
  }

  private static boolean reachesMore(ReachReport report, long gained, long kept) {
    double gain = report.unreachable() * share(gained, report.unreachableSample().size());
    double loss = report.reachable() * (1 - share(kept, report.reachableSample().size()));
    double needed =
        Math.max(MIN_GAIN, MIN_GAIN_SHARE * (report.unreachable() + report.reachable()));
    return gain - loss >= Math.max(needed, MIN_REGAINED_SHARE * report.unreachable());
  }

  private static double share(long part, int whole) {
    return whole == 0 ? 1 : (double) part / whole;
  }

  /** Tells whether the last probe has shown that this VM reaches more executors than the owner. */
  boolean reachesMore(long nowNanos) {
    return reachesMoreSince.isPresent() && nowNanos - reachesMoreSince.getAsLong() < VALIDITY_NANOS;
  }
}
