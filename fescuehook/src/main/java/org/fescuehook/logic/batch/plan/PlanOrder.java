package org.fescuehook.logic.batch.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.statistics.PlannedUsage;

/**
 * The order in which a plan considers the waiting steps: by rank, then by prospect, then the
 * organisation with the least use first, then by acceptance, with {@link SuspectTurns}. Use does
 * not count for guaranteed work, nor for steps for which other runs are being stopped. The use
 * includes what the plan has placed so far, so each step that is placed may change the order of
 * those that follow.
 *
 * <p>Placing a step changes the use of its own organisation only. One queue for each organisation,
 * ordered by acceptance, and a heap of these queues make that cheap: the heap holds as many entries
 * as there are organisations.
 */
final class PlanOrder {

  private final List<WaitingStep> byAcceptance;
  private final PlannedUsage usage;

  PlanOrder(Collection<WaitingStep> waiting, PlannedUsage usage) {
    this.byAcceptance = new ArrayList<>(waiting);
    this.byAcceptance.sort(WaitingStep.ORDER);
    int from = 0;
    while (from < byAcceptance.size()) {
      int to = endOfClass(from);
      SuspectTurns.take(byAcceptance.subList(from, to));
      from = to;
    }
    this.usage = usage;
  }

  /**
   * A step in the order in which the plan considered it.
   *
   * @param position its position by acceptance
   * @param use use of its organisation at that time, in tenths of the entitled share
   */
  record Considered(WaitingStep step, int position, int use) {}

  /**
   * Passes each step to an action, which may add to the use of its organisation.
   *
   * @return the steps that were ordered by use; empty while use does not count
   */
  List<Considered> forEach(Consumer<WaitingStep> action) {
    if (!usage.enabled()) {
      byAcceptance.forEach(action);
      return List.of();
    }
    List<Considered> considered = new ArrayList<>();
    int from = 0;
    while (from < byAcceptance.size()) {
      int to = endOfClass(from);
      // Guaranteed work has a bound on its start, which the order by use would put at risk.
      if (byAcceptance.get(from).rank().guaranteed()) {
        byAcceptance.subList(from, to).forEach(action);
      } else {
        byUse(from, to, action, considered);
      }
      from = to;
    }
    return considered;
  }

  private int endOfClass(int from) {
    int to = from + 1;
    while (to < byAcceptance.size() && byAcceptance.get(from).sameClass(byAcceptance.get(to))) {
      to++;
    }
    return to;
  }

  /** The steps of one organisation that have not been considered yet. */
  private record Queue(String organisation, ArrayDeque<Entry> entries, int use) {
    private static final Comparator<Queue> ORDER =
        Comparator.comparingInt(Queue::use)
            .thenComparingInt(queue -> queue.entries().getFirst().position());
  }

  /** A step and its position in the order of acceptance. */
  private record Entry(WaitingStep step, int position) {}

  private void byUse(int from, int to, Consumer<WaitingStep> action, List<Considered> considered) {
    // Capacity that is being freed for a step is not given to another one, for which the step would
    // have to preempt again.
    for (WaitingStep step : byAcceptance.subList(from, to)) {
      if (step.step().stopsOrdered()) {
        action.accept(step);
      }
    }
    Map<String, ArrayDeque<Entry>> entries = new HashMap<>();
    for (int i = from; i < to; i++) {
      WaitingStep step = byAcceptance.get(i);
      if (!step.step().stopsOrdered()) {
        entries
            .computeIfAbsent(step.organisation(), name -> new ArrayDeque<>())
            .add(new Entry(step, i));
      }
    }
    PriorityQueue<Queue> queues = new PriorityQueue<>(Queue.ORDER);
    entries.forEach((name, steps) -> queues.add(new Queue(name, steps, usage.of(name))));
    while (!queues.isEmpty()) {
      Queue first = queues.remove();
      Entry entry = first.entries().removeFirst();
      considered.add(new Considered(entry.step(), entry.position(), first.use()));
      action.accept(entry.step());
      if (!first.entries().isEmpty()) {
        String name = first.organisation();
        queues.add(new Queue(name, first.entries(), usage.of(name)));
      }
    }
  }
}
