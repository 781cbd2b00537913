package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.IntSummaryStatistics;
import org.fescuehook.wire.SlotShare;
import org.junit.jupiter.api.Test;

class SlotSharesTest {

  private static int slots(Scenario s) {
    return s.cluster.vms.stream()
        .filter(vm -> !vm.dead)
        .flatMap(vm -> vm.shares.values().stream())
        .mapToInt(SlotShare::getSlots)
        .sum();
  }

  @Test
  void allSlotsAreDividedEvenlyOverTheVms() {
    Scenario s = new Scenario(7, 4);
    s.run(10);
    assertEquals(3 * 8, slots(s));
    IntSummaryStatistics totals =
        s.cluster.vms.stream()
            .mapToInt(vm -> vm.shares.values().stream().mapToInt(SlotShare::getSlots).sum())
            .summaryStatistics();
    assertTrue(totals.getMax() - totals.getMin() <= 1, () -> "" + totals);
  }

  @Test
  void theShareOfADeadVmIsDividedAmongTheOtherVms() {
    Scenario s = new Scenario(3, 4);
    s.run(10);
    s.cluster.kill(s.nonOwner());
    s.run(90);
    assertEquals(3 * 8, slots(s));
  }

  @Test
  void aNewVmGetsItsShareAndTheSumNeverExceedsTheDeclaredSlots() {
    Scenario s = new Scenario(3, 4);
    s.run(10);
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(15);
    assertEquals(6, fresh.shares.values().stream().mapToInt(SlotShare::getSlots).sum());
    assertEquals(3 * 8, slots(s));
  }

  @Test
  void noShareIsRaisedWhileAnotherVmHasNotReadThatItsShareIsLowered() {
    Scenario s = new Scenario(3, 4);
    s.run(10);
    VirtualVm withoutLog = s.nonOwner();
    withoutLog.logUnreachable = true;
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(60);
    assertTrue(fresh.shares.isEmpty(), () -> "" + fresh.shares);
    withoutLog.logUnreachable = false;
    s.run(15);
    assertEquals(6, fresh.shares.values().stream().mapToInt(SlotShare::getSlots).sum());
  }
}
