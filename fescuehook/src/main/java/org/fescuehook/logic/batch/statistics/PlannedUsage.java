package org.fescuehook.logic.batch.statistics;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.model.batch.ResourceVector;

/**
 * The use of capacity by organisations while a plan is made. What the plan places for an
 * organisation counts at once, so that one organisation does not take all capacity in one plan.
 */
public final class PlannedUsage {

  /**
   * Use that the plan adds counts in steps of this part of the entitled share. Smaller than a
   * {@link UsageLevel}, since it is the same in each plan and does not alternate.
   */
  private static final double STEP = 0.1;

  /** Keeps a use that is a whole number of steps from being rounded below it. */
  private static final double ROUNDING = 1e-9;

  private final OrganisationUsage usage;
  private final Map<String, ResourceVectorSum> planned = new HashMap<>();

  /** Begins a plan. */
  public PlannedUsage(OrganisationUsage usage) {
    this.usage = usage;
  }

  /** Counts capacity that the plan gives to an organisation. */
  public void add(String organisation, ResourceVector demand) {
    if (usage.enabled()) {
      planned.computeIfAbsent(organisation, name -> new ResourceVectorSum()).add(demand);
    }
  }

  /**
   * Returns the use of an organisation in tenths of its entitled share, with what the plan has
   * placed for it. Differences that are too small to matter are rounded away, and equal uses are
   * equal numbers.
   */
  public int of(String organisation) {
    int before = usage.level(organisation).tenths();
    ResourceVectorSum added = planned.get(organisation);
    if (added == null) {
      return before;
    }
    return before + (int) Math.floor(usage.useOf(added, organisation) / STEP + ROUNDING);
  }

  /** Returns whether organisations are told apart by their use. */
  public boolean enabled() {
    return usage.enabled();
  }
}
