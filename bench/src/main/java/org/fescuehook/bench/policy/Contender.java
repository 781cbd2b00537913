package org.fescuehook.bench.policy;

import java.util.List;
import java.util.function.Supplier;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.logic.scheduling.PolicyFeatures;
import org.fescuehook.logic.scheduling.RunTimeCorrection;
import org.fescuehook.logic.scheduling.Scheduler;

/**
 * A policy that is measured.
 *
 * @param name its name in the table
 * @param judges whether workers are quarantined
 * @param policy makes a fresh one for each replay
 */
record Contender(String name, boolean judges, Supplier<Scheduler> policy) {

  static final Contender OURS = ours("ours", PolicyFeatures.ALL);

  /** Returns the simple policies and ours. */
  static List<Contender> main() {
    return List.of(
        new Contender("first in first out", false, () -> new QueueScheduler(false)),
        new Contender("first fit", false, () -> new QueueScheduler(true)),
        OURS);
  }

  /** Returns ours with each part switched off in turn, and with other corrections. */
  static List<Contender> withoutParts() {
    PolicyFeatures all = PolicyFeatures.ALL;
    return List.of(
        ours("- reclaim", all.withReclaim(false)),
        ours("- homes", all.withAvoidReserved(false)),
        ours("- corrections", all.withCorrection(RunTimeCorrection.NONE)),
        ours("median corrections", all.withCorrection(RunTimeCorrection.MEDIAN)),
        ours("- reservations", all.withReservations(false)),
        ours("- ordering", all.withOrdering(false)),
        ours("- fairness", all.withFairness(false)),
        ours("- packing", all.withPacking(false)),
        ours("- moves", all.withMoves(false)),
        ours("- ageing", all.withAgeing(false)),
        new Contender("- quarantine", false, () -> new GuaranteeScheduler(all)));
  }

  private static Contender ours(String name, PolicyFeatures parts) {
    return new Contender(name, true, () -> new GuaranteeScheduler(parts));
  }
}
