package org.fescuehook.bench.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.bench.soak.SoakSizes.Plan;
import org.junit.jupiter.api.Test;

class FaultPlanTest {

  private static final Duration MINUTE = Duration.ofSeconds(60);

  @Test
  void theSameSeedGivesTheSameFaults() {
    SoakSizes sizes = new SoakSizes(7, MINUTE, 4, 6);

    assertEquals(FaultPlan.draw(sizes), FaultPlan.draw(sizes));
    assertNotEquals(FaultPlan.draw(sizes), FaultPlan.draw(new SoakSizes(8, MINUTE, 4, 6)));
  }

  @Test
  void faultsBeginWithinTheTimeGiven() {
    for (long seed = 0; seed < 200; seed++) {
      List<Fault.Timed> plan = FaultPlan.draw(new SoakSizes(seed, Duration.ofSeconds(10), 2, 1));

      assertFalse(plan.isEmpty(), "seed " + seed);
      assertTrue(plan.getFirst().atMillis() >= 3000, "seed " + seed);
      assertTrue(plan.getLast().atMillis() < 10_000, "seed " + seed);
    }
  }

  @Test
  void eachKindOfFaultIsDrawn() {
    Set<Class<?>> kinds = new HashSet<>();
    for (long seed = 0; seed < 50; seed++) {
      FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6))
          .forEach(timed -> kinds.add(timed.fault().getClass()));
      FaultPlan.draw(cancels(seed)).forEach(timed -> kinds.add(timed.fault().getClass()));
      FaultPlan.draw(calm(seed)).forEach(timed -> kinds.add(timed.fault().getClass()));
      FaultPlan.draw(failures(seed)).forEach(timed -> kinds.add(timed.fault().getClass()));
    }

    assertEquals(Set.of(Fault.class.getPermittedSubclasses()).size(), kinds.size());
  }

  @Test
  void someRunsHaveExecutorsThatCrashTogetherSeveralTimes() {
    long series = 0;
    for (long seed = 0; seed < 50; seed++) {
      Map<Long, Long> together =
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6)).stream()
              .filter(timed -> timed.fault() instanceof Fault.CrashExecutor)
              .collect(Collectors.groupingBy(Fault.Timed::atMillis, Collectors.counting()));
      series += together.values().stream().filter(count -> count > 1).count() > 1 ? 1 : 0;
    }

    assertTrue(series > 10, series + " of 50");
  }

  @Test
  void someRunsHaveAllExecutorsOfARackThatFailWhatTheyStart() {
    long whole = 0;
    for (long seed = 0; seed < 50; seed++) {
      whole +=
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6)).stream()
                  .map(Fault.Timed::fault)
                  .filter(Fault.FailRuns.class::isInstance)
                  .anyMatch(fault -> ((Fault.FailRuns) fault).executors().size() == 3)
              ? 1
              : 0;
    }

    assertTrue(whole > 10, whole + " of 50");
  }

  @Test
  void someRunsHaveARackThatIsCutOffAgainAndAgain() {
    long series = 0;
    for (long seed = 0; seed < 50; seed++) {
      List<Fault.Timed> cuts =
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6)).stream()
              .filter(timed -> timed.fault() instanceof Fault.LoseOrders)
              .toList();
      long times = cuts.stream().map(Fault.Timed::atMillis).distinct().count();
      series += times >= 5 && cuts.size() == 3 * times ? 1 : 0;
    }

    assertTrue(series > 10, series + " of 50");
  }

  @Test
  void someRunsEndWithLateOrdersThatNothingElseDisturbs() {
    long ending = 0;
    for (long seed = 0; seed < 50; seed++) {
      Fault last = FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6)).getLast().fault();
      if (last instanceof Fault.DelayOrders delay) {
        ending++;
        assertEquals(List.of(1, 2, 3, 4, 5, 6), delay.executors(), "seed " + seed);
        assertTrue(delay.permille() >= 100 && delay.permille() <= 600, "seed " + seed);
        assertTrue(delay.forMillis() > 14_000 + 7000, "seed " + seed);
      }
    }

    assertTrue(ending > 10, ending + " of 50");
  }

  @Test
  void faultsBesideAFullServiceLeaveCalmTimes() {
    for (long seed = 0; seed < 50; seed++) {
      List<Fault.Timed> plan =
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6, SoakSizes.Plan.SERVICES));

      assertTrue(plan.size() <= 5, "seed " + seed);
      assertTrue(plan.getLast().atMillis() == MINUTE.toMillis() - 1, "seed " + seed);
    }
  }

  /** The promise about odd entries is judged only while nothing else is disturbed. */
  @Test
  void oddEntriesComeInCalmTimes() {
    for (long seed = 0; seed < 50; seed++) {
      List<Fault.Timed> plan =
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6, SoakSizes.Plan.ODD_ENTRIES));
      List<Fault.Timed> odd =
          plan.stream().filter(t -> t.fault() instanceof Fault.WriteOddEntries).toList();

      assertTrue(odd.size() >= 10, "seed " + seed);
      assertTrue(plan.size() - odd.size() <= 5, "seed " + seed);
    }
  }

  private static List<Fault.Timed> cuts(List<Fault.Timed> plan) {
    return plan.stream().filter(t -> t.fault() instanceof Fault.CutExecutors).toList();
  }

  /** The promise about cuts is judged only while some VM reaches all executors. */
  @Test
  void someVmReachesAllExecutorsThroughTheWholeOfACut() {
    for (long seed = 0; seed < 200; seed++) {
      for (SoakSizes.Plan kind : List.of(Plan.MIXED, Plan.PARTIAL_PARTITION)) {
        long over = 0;
        for (Fault.Timed cut : cuts(FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6, kind)))) {
          Fault.CutExecutors fault = (Fault.CutExecutors) cut.fault();
          assertTrue(cut.atMillis() >= over, kind + ", seed " + seed);
          assertTrue(fault.vms().size() < 4 && !fault.vms().isEmpty(), kind + ", seed " + seed);
          assertTrue(fault.executors().size() >= 2, kind + ", seed " + seed);
          over = cut.atMillis() + fault.forMillis();
        }
      }
    }
  }

  @Test
  void longCutsComeOneAfterAnotherAndNothingElseDoes() {
    long total = 0;
    long withoutOwner = 0;
    for (long seed = 0; seed < 100; seed++) {
      List<Fault.Timed> plan =
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 9, 32, Plan.PARTIAL_PARTITION));
      assertEquals(plan, cuts(plan), "seed " + seed);
      assertTrue(plan.size() >= 2, "seed " + seed);
      for (Fault.Timed timed : plan) {
        Fault.CutExecutors cut = (Fault.CutExecutors) timed.fault();
        assertTrue(cut.forMillis() >= 10_000 && cut.forMillis() <= 20_000, "seed " + seed);
        total += cut.lossPercent() == 100 ? 1 : 0;
        withoutOwner += cut.vms().size() < 8 ? 1 : 0;
      }
    }

    assertTrue(total > 60 && total < 200, total + " of 200 or more are total");
    assertTrue(withoutOwner > 20 && withoutOwner < 100, withoutOwner + " leave more VMs");
  }

  /** Guards against a promise that is never judged in mixed runs. */
  @Test
  void someMixedRunsEndWithACutThatNothingElseDisturbs() {
    long ending = 0;
    long without = 0;
    for (long seed = 0; seed < 100; seed++) {
      List<Fault.Timed> plan = FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6));
      without += cuts(plan).isEmpty() ? 1 : 0;
      if (plan.getLast().fault() instanceof Fault.CutExecutors cut) {
        ending++;
        assertTrue(cut.forMillis() > 14_000 + 8000, "seed " + seed);
      }
    }

    assertTrue(ending > 15, ending + " of 100");
    assertTrue(without > 35 && without < 65, without + " of 100");
  }

  private static SoakSizes calm(long seed) {
    return new SoakSizes(seed, MINUTE, 9, 32, Plan.CALM_AFTER_OWNERS);
  }

  /** Guards against a calm stretch in which something is disturbed, or that follows on nothing. */
  @Test
  void aLongCalmStretchFollowsOnLostOwnersOrRestarts() {
    long owners = 0;
    long storeAway = 0;
    for (long seed = 0; seed < 200; seed++) {
      List<Fault.Timed> plan = FaultPlan.draw(calm(seed));
      List<Fault.Timed> before =
          plan.stream().filter(timed -> timed.atMillis() <= 60_000 - 35_000).toList();
      List<Fault.Timed> last = plan.stream().filter(timed -> !before.contains(timed)).toList();
      assertEquals(1, last.size(), "seed " + seed);
      assertTrue(last.getFirst().atMillis() >= 59_000, "seed " + seed);
      storeAway += last.getFirst().fault() instanceof Fault.NewConfiguration ? 0 : 1;
      List<Fault.Timed> powerLosses =
          before.stream().filter(t -> t.fault() instanceof Fault.PowerOffOwner).toList();
      owners += powerLosses.isEmpty() ? 0 : 1;
      assertTrue(powerLosses.isEmpty() || powerLosses.size() == 2, "seed " + seed);
      assertTrue(powerLosses.isEmpty() || before.size() == 2, "seed " + seed);
      assertTrue(before.size() >= 2, "seed " + seed);
    }

    assertTrue(owners > 70 && owners < 130, owners + " of 200");
    assertTrue(storeAway > 70 && storeAway < 130, storeAway + " of 200");
  }

  @Test
  void someVmsAreRestartedFourTimesInSeries() {
    long four = 0;
    for (long seed = 0; seed < 50; seed++) {
      Map<Integer, Long> restarts =
          FaultPlan.draw(calm(seed)).stream()
              .map(Fault.Timed::fault)
              .filter(f -> f instanceof Fault.StopVm || f instanceof Fault.KillVms)
              .map(
                  fault ->
                      fault instanceof Fault.StopVm(int vm)
                          ? vm
                          : ((Fault.KillVms) fault).vms().iterator().next())
              .collect(Collectors.groupingBy(vm -> vm, Collectors.counting()));
      assertTrue(restarts.values().stream().allMatch(count -> count <= 4), "seed " + seed);
      four += restarts.containsValue(4L) ? 1 : 0;
    }

    assertTrue(four > 10, four + " of 50");
  }

  private static SoakSizes failures(long seed) {
    return new SoakSizes(seed, MINUTE, 9, 32, Plan.CALM_AFTER_FAILURES);
  }

  /** Guards against a calm stretch in which something is disturbed, or that follows on nothing. */
  @Test
  void aLongCalmStretchFollowsOnExecutorsThatFail() {
    long beside = 0;
    long racks = 0;
    long several = 0;
    for (long seed = 0; seed < 200; seed++) {
      List<Fault.Timed> plan = FaultPlan.draw(failures(seed));
      List<Fault.Timed> before =
          plan.stream().filter(timed -> timed.atMillis() < 60_000 - 20_000).toList();
      assertEquals(plan.size() - 1, before.size(), "seed " + seed);
      assertTrue(plan.getLast().atMillis() >= 59_000, "seed " + seed);
      List<Fault.Timed> failing =
          before.stream().filter(t -> t.fault() instanceof Fault.FailRuns).toList();
      assertTrue(!failing.isEmpty() && failing.size() <= 3, "seed " + seed);
      for (Fault.Timed timed : failing) {
        Fault.FailRuns fault = (Fault.FailRuns) timed.fault();
        assertTrue(fault.forMillis() >= 2000 && fault.forMillis() <= 6500, "seed " + seed);
        int count = fault.executors().size();
        assertTrue(count >= 10 && count <= 22, count + " of 32, seed " + seed);
      }
      long end =
          failing.stream()
              .mapToLong(t -> t.atMillis() + ((Fault.FailRuns) t.fault()).forMillis())
              .max()
              .orElseThrow();
      assertEquals(40_000, end, "seed " + seed);
      several += failing.size() > 1 ? 1 : 0;
      racks += failing.stream().anyMatch(t -> isRack((Fault.FailRuns) t.fault())) ? 1 : 0;
      assertTrue(before.size() - failing.size() <= 1, "seed " + seed);
      beside += before.size() - failing.size();
    }

    assertTrue(several > 100 && several < 170, several + " of 200");
    assertTrue(racks > 80 && racks < 170, racks + " of 200");
    assertTrue(beside > 70 && beside < 130, beside + " of 200");
  }

  private static boolean isRack(Fault.FailRuns fault) {
    return fault.executors().stream().map(number -> number % 2).distinct().count() == 1;
  }

  private static SoakSizes cancels(long seed) {
    return new SoakSizes(seed, MINUTE, 4, 6, SoakSizes.Plan.CANCELS);
  }

  @Test
  void theSameSeedGivesTheSameWavesOfCancels() {
    assertEquals(FaultPlan.draw(cancels(7)), FaultPlan.draw(cancels(7)));
    assertNotEquals(FaultPlan.draw(cancels(7)), FaultPlan.draw(cancels(8)));
  }

  @Test
  void eachWaveOfCancelsIsFollowedByAQuietTime() {
    for (long seed = 0; seed < 200; seed++) {
      List<Fault.Timed> plan = FaultPlan.draw(cancels(seed));
      List<Long> waves =
          plan.stream()
              .filter(timed -> timed.fault() instanceof Fault.CancelAll)
              .map(Fault.Timed::atMillis)
              .toList();

      assertTrue(waves.size() >= 4, "seed " + seed);
      for (long wave : waves) {
        assertTrue(
            plan.stream()
                .noneMatch(t -> t.atMillis() > wave + 5000 && t.atMillis() < wave + 12_000),
            "seed " + seed);
      }
    }
  }

  /** Guards against planned work that never meets a stop, or comes beside unplanned faults. */
  @Test
  void plannedWorkOverlapsAndNothingElseComes() {
    long overlapping = 0;
    for (long seed = 0; seed < 50; seed++) {
      List<Fault.Timed> plan =
          FaultPlan.draw(new SoakSizes(seed, MINUTE, 4, 6, SoakSizes.Plan.PLANNED));
      assertTrue(
          plan.stream()
              .map(Fault.Timed::fault)
              .allMatch(
                  fault ->
                      fault instanceof Fault.StopVm
                          || fault instanceof Fault.ReloadVm
                          || fault instanceof Fault.NewConfiguration),
          "seed " + seed);
      overlapping += plan.stream().anyMatch(stop -> reloadedWithin(plan, stop)) ? 1 : 0;
    }

    assertTrue(overlapping > 40, overlapping + " of 50");
  }

  private static boolean reloadedWithin(List<Fault.Timed> plan, Fault.Timed stop) {
    return stop.fault() instanceof Fault.StopVm(int vm)
        && plan.stream()
            .filter(other -> other.fault().equals(new Fault.ReloadVm(vm)))
            .anyMatch(
                other ->
                    other.atMillis() >= stop.atMillis()
                        && other.atMillis() < stop.atMillis() + 2500);
  }

  @Test
  void impossibleSizesAreNamed() {
    IllegalArgumentException thrown =
        assertThrows(IllegalArgumentException.class, () -> new SoakSizes(1, MINUTE, 1, 6));

    assertEquals("--vms is 1, not from 2 to 40", thrown.getMessage());
  }
}
