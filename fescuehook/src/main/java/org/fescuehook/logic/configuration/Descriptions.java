package org.fescuehook.logic.configuration;

import org.fescuehook.logic.ini.Sizes;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;

/** Describes capacities, shapes and guarantees in text for operators. */
final class Descriptions {

  private Descriptions() {}

  static String capacity(Capacity capacity) {
    return "%s, %s and %s"
        .formatted(
            plural(capacity.accelerators(), "accelerator"),
            plural(capacity.cores(), "core"),
            Sizes.formatMebibytes(capacity.memoryMegabytes()));
  }

  static String shape(Shape shape) {
    String racks =
        shape.maxRacks() == 0 ? "any racks" : "at most " + plural(shape.maxRacks(), "rack");
    return "%s of %s in %s"
        .formatted(plural(shape.members(), "member"), capacity(shape.perMember()), racks);
  }

  static String guarantee(GuaranteedShape guarantee) {
    return "%d x (%s) for %s"
        .formatted(guarantee.count(), shape(guarantee.shape()), guarantee.organisation());
  }

  static String plural(int count, String noun) {
    return count == 1 ? "1 " + noun : count + " " + noun + "s";
  }
}
