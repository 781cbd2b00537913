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
 * organisation with the least use first, then by acceptance. The use includes what the plan has
 * placed so far, so each step that is placed may change the order of those that follow.
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
    this.usage = usage;
  }

  /** Passes each step to an action, which may add to the use of its organisation. */
  void forEach(Consumer<WaitingStep> action) {
    if (!usage.enabled()) {
      byAcceptance.forEach(action);
      return;
    }
    int from = 0;
    while (from < byAcceptance.size()) {
      int to = from + 1;
      while (to < byAcceptance.size() && byAcceptance.get(from).sameClass(byAcceptance.get(to))) {
        to++;
      }
      byUse(byAcceptance.subList(from, to), action);
      from = to;
    }
  }

  /** The steps of one organisation that have not been considered yet. */
  private record Queue(String organisation, ArrayDeque<Entry> entries, double use) {
    private static final Comparator<Queue> ORDER =
        Comparator.comparingDouble(Queue::use)
            .thenComparingInt(queue -> queue.entries().getFirst().position());
  }

  /** A step and its position in the order of acceptance. */
  private record Entry(WaitingStep step, int position) {}

  private void byUse(List<WaitingStep> equals, Consumer<WaitingStep> action) {
    Map<String, ArrayDeque<Entry>> entries = new HashMap<>();
    for (int i = 0; i < equals.size(); i++) {
      entries
          .computeIfAbsent(equals.get(i).organisation(), name -> new ArrayDeque<>())
          .add(new Entry(equals.get(i), i));
    }
    PriorityQueue<Queue> queues = new PriorityQueue<>(Queue.ORDER);
    entries.forEach((name, steps) -> queues.add(new Queue(name, steps, usage.of(name))));
    while (!queues.isEmpty()) {
      Queue first = queues.remove();
      action.accept(first.entries().removeFirst().step());
      if (!first.entries().isEmpty()) {
        String name = first.organisation();
        queues.add(new Queue(name, first.entries(), usage.of(name)));
      }
    }
  }
}
