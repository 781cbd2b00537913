package org.fescuehook.logic.batch.ownership;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;

/** Decides whether this VM may claim ownership from the last known owner. */
final class ClaimRule {

  /**
   * Delay after which a VM that is much weaker than the former owner claims, to let stronger VMs
   * claim first; all VMs notice a silence within about 0.4 s of each other.
   */
  private static final long WEAKER_VM_DELAY_NANOS = Duration.ofMillis(500).toNanos();

  /**
   * How long a VM that could not complete a take-over claims only if no other VM does; the cause,
   * such as a slow network link, rarely passes sooner.
   */
  private static final long YIELD_PERIOD_NANOS = Duration.ofSeconds(60).toNanos();

  /** Delay of such a claim; longer than that of any other VM, so that each claims first. */
  private static final long YIELD_DELAY_NANOS = Duration.ofMillis(2000).toNanos();

  private final OwnerIdentity self;
  private final OwnershipTimeouts timeouts;
  private final OwnerSilence silence;
  private final ReachComparison reach;
  private OptionalLong yieldedAt = OptionalLong.empty();

  ClaimRule(
      OwnerIdentity self, OwnershipTimeouts timeouts, OwnerSilence silence, ReachComparison reach) {
    this.self = self;
    this.timeouts = timeouts;
    this.silence = silence;
    this.reach = reach;
  }

  /** Records that this VM has given ownership up since it could not begin to decide. */
  void yielded(BatchContext context) {
    yieldedAt = OptionalLong.of(context.nowNanos());
  }

  /**
   * Tells whether this VM may claim ownership now.
   *
   * @param owner newest record of an owner
   * @param readable whether this VM can read the stream of ownership
   */
  boolean mayClaim(OwnerRecord owner, boolean readable, BatchContext context) {
    boolean bySelf = owner.writtenBy(self.vm(), self.incarnation());
    boolean ownPreviousIncarnation = owner.vm().equals(self.vm()) && !bySelf;
    boolean yielded =
        yieldedAt.isPresent() && context.nowNanos() - yieldedAt.getAsLong() < YIELD_PERIOD_NANOS;
    boolean stronger = ProcessingPower.muchStronger(self.milliCores(), owner.milliCores());
    boolean takesOver = readable && (stronger || reach.reachesMore(context.nowNanos()));
    if (ownPreviousIncarnation || (takesOver && !yielded)) {
      return true;
    }
    boolean released = owner.kind() == OwnerRecord.Kind.RELEASE;
    boolean muchWeaker = ProcessingPower.muchStronger(owner.milliCores(), self.milliCores());
    long delay =
        (released ? 0 : silence.timeoutNanos(context))
            + (muchWeaker ? WEAKER_VM_DELAY_NANOS : 0)
            + (yielded ? YIELD_DELAY_NANOS : 0);
    return delay == 0
        || (silence.nanos(context.nowNanos()) > delay && !timeouts.readOverdue(context));
  }
}
