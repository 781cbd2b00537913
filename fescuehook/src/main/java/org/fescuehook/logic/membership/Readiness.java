package org.fescuehook.logic.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether this VM may accept work. A VM that can confirm neither through the log nor
 * through a peer that its configuration is current is not ready.
 */
public final class Readiness {

  private final Duration staleAfter;

  /**
   * Creates the evaluation.
   *
   * @param staleAfter maximum time without contact to the log and to peers, and maximum time with
   *     an outdated configuration
   */
  public Readiness(Duration staleAfter) {
    this.staleAfter = staleAfter;
  }

  /** Returns why this VM cannot accept work; empty if it can. */
  public Optional<NotReady> evaluate(Inputs inputs, long nowNanos) {
    if (!inputs.configured) {
      return Optional.of(NotReady.NO_CONFIGURATION);
    }
    if (!inputs.slots) {
      return Optional.of(NotReady.NO_SLOTS);
    }
    boolean logContact = recent(inputs.logContactNanos, nowNanos);
    if (!inputs.caughtUp && logContact) {
      return Optional.of(NotReady.CATCHING_UP);
    }
    if (!logContact && !recent(inputs.peerContactNanos, nowNanos)) {
      return Optional.of(NotReady.ISOLATED);
    }
    if (inputs.behindSinceNanos.isPresent() && !recent(inputs.behindSinceNanos, nowNanos)) {
      return Optional.of(NotReady.BEHIND);
    }
    return Optional.empty();
  }

  private boolean recent(OptionalLong atNanos, long nowNanos) {
    return atNanos.isPresent() && nowNanos - atNanos.getAsLong() <= staleAfter.toNanos();
  }

  /** Why a VM is not ready. */
  public enum NotReady {
    /** It is stopping. */
    DRAINING("draining"),
    /** Its decision thread stopped because of an error in the program. */
    DECISIONS_HALTED("decisions-halted"),
    /** It is otherwise ready, but its service port does not accept requests yet. */
    OPENING("opening"),
    /** It has no configuration. */
    NO_CONFIGURATION("no-configuration"),
    /** It has no share of the executors' slots, or does not know its share. */
    NO_SLOTS("no-slots"),
    /** It is reading the log and has not reached its end yet. */
    CATCHING_UP("catching-up"),
    /** It has contact to neither the log nor a peer. */
    ISOLATED("isolated"),
    /** A peer has a newer configuration that has not arrived here. */
    BEHIND("behind");

    private final String slug;

    NotReady(String slug) {
      this.slug = slug;
    }

    /** Returns the word used on the wire and as metric tag. */
    public String slug() {
      return slug;
    }
  }

  /**
   * State of this VM that readiness depends on. Times are monotonic nanoseconds.
   *
   * @param configured whether a configuration is in force
   * @param slots whether it has a share of executors' slots, or no executor is declared
   * @param caughtUp whether the reader of the control stream has reached its end since the start
   * @param logContactNanos time of the last answer of the log
   * @param peerContactNanos time of the last heartbeat of a peer: a peer that reaches the log keeps
   *     this VM up to date, and if no peer reaches it, the log itself is unavailable
   * @param behindSinceNanos time since which a peer has had a newer configuration
   */
  public record Inputs(
      boolean configured,
      boolean slots,
      boolean caughtUp,
      OptionalLong logContactNanos,
      OptionalLong peerContactNanos,
      OptionalLong behindSinceNanos) {}
}
