package org.fescuehook.standins.platform;

import java.util.List;

/**
 * Faults of the network between VMs and executors.
 *
 * @param cuts cuts in force; if several affect the same link, the one that loses most counts
 */
public record LinkFaults(List<Cut> cuts) {

  /** Copies the list; if it is missing, nothing is cut. */
  public LinkFaults {
    cuts = cuts == null ? List.of() : List.copyOf(cuts);
  }

  /**
   * Links between some VMs and some executors that lose a share of what passes.
   *
   * @param vms numbers of the VMs; the first one is 0
   * @param executors numbers of the executors; the first one is 1
   * @param lossPercent how much of what passes is lost; 100 for all
   */
  public record Cut(List<Integer> vms, List<Integer> executors, int lossPercent) {}

  /** Returns how much of what passes between a VM and an executor is lost, in percent. */
  int lossPercent(int vm, int executor) {
    return cuts.stream()
        .filter(cut -> cut.vms().contains(vm) && cut.executors().contains(executor))
        .mapToInt(Cut::lossPercent)
        .max()
        .orElse(0);
  }
}
