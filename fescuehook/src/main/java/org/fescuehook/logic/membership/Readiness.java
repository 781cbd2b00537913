package org.fescuehook.logic.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tells whether this VM may take work. A VM that can tell neither by the log nor by a peer whether
 * its configuration is current is not ready.
 */
public final class Readiness {

  private final Duration staleAfter;

  /**
   * Creates the rules.
   *
   * @param staleAfter longest time without contact
   */
  public Readiness(Duration staleAfter) {
    this.staleAfter = staleAfter;
  }

  /** Returns why this VM cannot do work; empty if it can. */
  public Optional<NotReady> judge(Inputs facts, long nowNanos) {
    if (!facts.configured) {
      return Optional.of(NotReady.NO_CONFIGURATION);
    }
    if (!facts.slots) {
      return Optional.of(NotReady.NO_SLOTS);
    }
    boolean logContact = recent(facts.logContactNanos, nowNanos);
    if (!facts.caughtUp && logContact) {
      return Optional.of(NotReady.CATCHING_UP);
    }
    if (!logContact && !recent(facts.peerContactNanos, nowNanos)) {
      return Optional.of(NotReady.ISOLATED);
    }
    if (facts.behindSinceNanos.isPresent() && !recent(facts.behindSinceNanos, nowNanos)) {
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
    /** Its decision core met a fault of the program. */
    DECISIONS_HALTED("decisions-halted"),
    /** All is there, but its service port does not take requests yet. */
    OPENING("opening"),
    /** It has no configuration. */
    NO_CONFIGURATION("no-configuration"),
    /** It has no share of the executors' slots, or does not know its share. */
    NO_SLOTS("no-slots"),
    /** It reads the log and has not reached the end yet. */
    CATCHING_UP("catching-up"),
    /** It hears neither the log nor a peer. */
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
   * What the verdict depends on. Times are monotonic nanoseconds.
   *
   * @param configured whether a configuration is in force
   * @param slots whether it has a share of executors' slots, or no executor is declared
   * @param caughtUp whether the reader of the control stream has reached its end since the start
   * @param logContactNanos when the log last answered
   * @param peerContactNanos when a peer was last heard: one that reaches the log keeps this VM
   *     current, and peers that do not reach it either show an outage of the log
   * @param behindSinceNanos since when a peer has had a newer configuration
   */
  public record Inputs(
      boolean configured,
      boolean slots,
      boolean caughtUp,
      OptionalLong logContactNanos,
      OptionalLong peerContactNanos,
      OptionalLong behindSinceNanos) {}
}
