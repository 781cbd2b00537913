package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * One guaranteed shape; a guarantee with a count stands for several.
 *
 * @param number its number among all of them
 * @param organisation holder
 * @param shape the shape
 */
record GuaranteedInstance(int number, OrganisationId organisation, Shape shape) {

  /** Tells whether racks do not matter to a shape. */
  static boolean isAnywhere(Shape shape) {
    return shape.maxRacks() == 0 || shape.members() == 1;
  }

  /** Tells whether any part of this guaranteed shape is as adjacent as a job's shape asks. */
  boolean isAdjacentEnough(Shape job) {
    if (shape.members() == 1) {
      return true;
    }
    return shape.maxRacks() > 0 && shape.maxRacks() <= job.maxRacks();
  }
}
