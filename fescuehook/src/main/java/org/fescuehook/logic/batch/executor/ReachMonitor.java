package org.fescuehook.logic.batch.executor;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.ownership.ReachReport;

/**
 * Detects that this VM cannot connect to some executors. They may be gone, or this VM may be cut
 * off from them while other VMs are not; only a comparison with another VM tells which.
 */
public final class ReachMonitor {

  /** Number of executors whose timeouts are no coincidence together, even if each is the first. */
  private static final int SEVERAL = 3;

  /** Number of executors of each kind whose addresses are reported. */
  private static final int SAMPLE_SIZE = 8;

  private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

  private final ExecutorRegistry registry;
  private OptionalLong loggedAt = OptionalLong.empty();

  /** Creates a monitor of the executors of a registry. */
  public ReachMonitor(ExecutorRegistry registry) {
    this.registry = registry;
  }

  /** Returns which executors this VM reaches; empty if no connections time out. */
  public Optional<ReachReport> report(BatchContext context) {
    List<InetSocketAddress> unreachable = new ArrayList<>();
    List<InetSocketAddress> reachable = new ArrayList<>();
    boolean persistent = false;
    for (ExecutorState executor : registry.all()) {
      if (!executor.listed()) {
        continue;
      }
      ConnectTimeouts timeouts = executor.unansweredOrders().connectTimeouts();
      if (timeouts.recent(context.nowNanos())) {
        unreachable.add(executor.profile().address());
        persistent |= timeouts.persistent(context.nowNanos());
      } else if (executor.presumedAlive()) {
        reachable.add(executor.profile().address());
      }
    }
    if (unreachable.size() < SEVERAL && !persistent) {
      return Optional.empty();
    }
    ReachReport report =
        new ReachReport(
            unreachable.size(), reachable.size(), sample(unreachable), sample(reachable));
    log(report, context);
    return Optional.of(report);
  }

  private void log(ReachReport report, BatchContext context) {
    long now = context.nowNanos();
    if (loggedAt.isPresent() && now - loggedAt.getAsLong() < LOG_INTERVAL_NANOS) {
      return;
    }
    loggedAt = OptionalLong.of(now);
    context.note(
        BatchLogEvent.EXECUTORS_UNREACHABLE,
        report.unreachable(),
        report.reachable(),
        report.unreachableSample());
  }

  /** Returns some addresses, spread evenly over the list. */
  private static List<InetSocketAddress> sample(List<InetSocketAddress> addresses) {
    int size = Math.min(SAMPLE_SIZE, addresses.size());
    List<InetSocketAddress> sample = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      sample.add(addresses.get((int) ((long) i * addresses.size() / size)));
    }
    return sample;
  }
}
