package org.fescuehook.logic.scheduling;

/**
 * Parts of the policy that can be switched off, to measure what each earns.
 *
 * @param reclaim borrowers give way to holders
 * @param homes borrowers keep off the homes of guaranteed shapes while there is other room
 * @param correction how declared run times are corrected
 * @param reservations blocked large jobs get a reservation, others are started around it
 * @param ordering short jobs first, weighed against the time waited
 * @param fairness organisations that used much come later
 * @param packing workers and racks are filled tightly
 * @param moves checkpointable borrowers move to make room for a shape
 * @param ageing jobs that waited for the declared bound come before all others
 */
public record PolicyParts(
    boolean reclaim,
    boolean homes,
    RunTimeCorrection correction,
    boolean reservations,
    boolean ordering,
    boolean fairness,
    boolean packing,
    boolean moves,
    boolean ageing) {

  /** All parts. */
  public static final PolicyParts ALL =
      new PolicyParts(
          true, true, RunTimeCorrection.MEDIAN, true, true, true, true, true, true);
}
