package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * Lets steps take turns in starting tasks that are suspected of crashing executors. Such a task
 * keeps other suspects away from its executor for a while, so that a step with many of them would
 * otherwise keep all later steps waiting in an idle fleet.
 */
final class SuspectTurns {

  private SuspectTurns() {}

  /** A group of suspected tasks and the turn of its step that it takes. */
  private record Turn(WaitingStep step, int number) {}

  /**
   * Reorders the suspected tasks of one class among their positions: those of steps with fewer
   * suspects at work come first.
   *
   * @param sameClass steps between which only use and acceptance decide, ordered by acceptance
   */
  static void take(List<WaitingStep> sameClass) {
    List<Integer> positions = new ArrayList<>();
    List<Turn> turns = new ArrayList<>();
    Map<StepProgress, Integer> next = new IdentityHashMap<>();
    for (int i = 0; i < sameClass.size(); i++) {
      WaitingStep waiting = sameClass.get(i);
      if (waiting.mayCrash()) {
        int number = next.computeIfAbsent(waiting.step(), SuspectTurns::atWork);
        next.put(waiting.step(), number + 1);
        positions.add(i);
        turns.add(new Turn(waiting, number));
      }
    }
    if (next.size() < 2) {
      return;
    }
    turns.sort(Comparator.comparingInt(Turn::number));
    for (int i = 0; i < positions.size(); i++) {
      sameClass.set(positions.get(i), turns.get(i).step());
    }
  }

  private static int atWork(StepProgress step) {
    return (int) step.liveRuns().stream().filter(LiveRun::mayCrash).count();
  }
}
