package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * One guaranteed shape; a guarantee declared with a count has that many instances.
 *
 * @param number number of the instance among all instances
 * @param organisation organisation that holds the guarantee
 * @param shape the guaranteed shape
 */
record GuaranteedInstance(int number, OrganisationId organisation, Shape shape) {

  /** Returns whether the members of a shape may be placed on workers of any racks. */
  static boolean allowsAnyRack(Shape shape) {
    return shape.maxRacks() == 0 || shape.members() == 1;
  }

  /**
   * Returns whether any part of this guaranteed shape spans no more racks than a job's shape
   * allows.
   */
  boolean satisfiesRackLimitOf(Shape job) {
    if (shape.members() == 1) {
      return true;
    }
    return shape.maxRacks() > 0 && shape.maxRacks() <= job.maxRacks();
  }
}
