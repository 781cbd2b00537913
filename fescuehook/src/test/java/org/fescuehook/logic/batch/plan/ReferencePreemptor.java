package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.WorkPreferences;

/** Chooses which running work gives way so that a step fits. */
final class ReferencePreemptor {

  /**
   * Share of the work of a step that may be thrown away to let it start. Above it, displacing would
   * slow the others down more than it speeds the step up; on heavy days 0.3 was better than 0.5, 1
   * and 3. Guarantees have no such limit.
   */
  private static final double MOST_THROWN_AWAY = 0.3;

  /** What a start costs beside the restoring of saved work: its order, and the store. */
  private static final double START_SECONDS = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final Function<StepProgress, Rank> ranks;
  private final WorkPreferences work;
  private final long nowNanos;

  /** Tasks of steps that last which this plan stops already. */
  private final Map<StepProgress, Integer> planned = new HashMap<>();

  ReferencePreemptor(Function<StepProgress, Rank> ranks, WorkPreferences work, long nowNanos) {
    this.ranks = ranks;
    this.work = work;
    this.nowNanos = nowNanos;
  }

  /**
   * Runs that give way together: one task, or all members of a gang.
   *
   * @param thrownAway work that has to be done again, in seconds of one core
   */
  private record Victim(List<LiveRun> runs, Rank rank, double thrownAway) {}

  /**
   * Chooses victims.
   *
   * @param expected room once all that is being stopped is gone
   * @return the runs to stop, and the places that they leave; absent if that would not do
   */
  Optional<Selection> choose(WaitingStep waiting, ReferenceCapacity expected, boolean nearOnly) {
    double limit =
        waiting.rank().guaranteed()
            ? Double.MAX_VALUE
            : waiting.estimatedCoreSeconds() * MOST_THROWN_AWAY;
    Optional<Selection> best = Optional.empty();
    for (List<ReferenceCandidate> group : expected.groups(waiting, nearOnly)) {
      Optional<Selection> choice = choose(waiting, group, limit);
      if (choice.isPresent()
          && best.filter(found -> found.thrownAway() <= choice.get().thrownAway()).isEmpty()) {
        best = choice;
      }
    }
    return best;
  }

  /** Remembers that a choice is carried out. */
  void carriedOut(Selection choice) {
    choice.victims().forEach(run -> planned.merge(run.step(), 1, Integer::sum));
  }

  /** Victims, what they lose, and the places that the step then has. */
  record Selection(List<LiveRun> victims, double thrownAway, List<TaskPlacement> places) {}

  private Optional<Selection> choose(
      WaitingStep waiting, List<ReferenceCandidate> group, double limit) {
    List<ReferenceCandidate> copies = group.stream().map(ReferenceCandidate::copy).toList();
    Map<ExecutorId, ReferenceCandidate> byExecutor = new LinkedHashMap<>();
    copies.forEach(slot -> byExecutor.put(slot.executor().profile().id(), slot));
    int wanted = waiting.tasks().size();
    List<Victim> chosen = new ArrayList<>();
    double lost = 0;
    for (Victim victim : victims(waiting, copies)) {
      if (ReferenceCapacity.fits(waiting, copies) >= wanted) {
        break;
      }
      if (lost + victim.thrownAway() > limit) {
        continue;
      }
      chosen.add(victim);
      lost += victim.thrownAway();
      give(victim, byExecutor, 1);
    }
    if (ReferenceCapacity.fits(waiting, copies) < wanted) {
      return Optional.empty();
    }
    lost -= spare(waiting, copies, byExecutor, chosen);
    List<LiveRun> runs = chosen.stream().flatMap(victim -> victim.runs().stream()).toList();
    return Optional.of(
        new Selection(runs, lost, ReferenceCapacity.place(waiting, waiting.tasks(), copies)));
  }

  /** Takes victims out again that turn out not to be needed; returns the work that this saves. */
  private static double spare(
      WaitingStep waiting,
      List<ReferenceCandidate> copies,
      Map<ExecutorId, ReferenceCandidate> byExecutor,
      List<Victim> chosen) {
    double saved = 0;
    for (Victim victim : List.copyOf(chosen).reversed()) {
      give(victim, byExecutor, -1);
      if (ReferenceCapacity.fits(waiting, copies) >= waiting.tasks().size()) {
        chosen.remove(victim);
        saved += victim.thrownAway();
      } else {
        give(victim, byExecutor, 1);
      }
    }
    return saved;
  }

  private static void give(
      Victim victim, Map<ExecutorId, ReferenceCandidate> byExecutor, int sign) {
    for (LiveRun run : victim.runs()) {
      Optional.ofNullable(byExecutor.get(run.executor()))
          .ifPresent(slot -> slot.give(run.demand().times(sign)));
    }
  }

  /** Returns what may give way, the least important and the least lost first. */
  private List<Victim> victims(WaitingStep waiting, List<ReferenceCandidate> group) {
    List<Victim> victims = new ArrayList<>();
    Set<StepProgress> gangs = new LinkedHashSet<>();
    Map<StepProgress, Integer> missed = new HashMap<>(planned);
    for (ReferenceCandidate slot : group) {
      ExecutorState executor = slot.executor();
      for (LiveRun run : executor.runs()) {
        Rank rank = ranks.apply(run.step());
        boolean movable = run.stage() != Stage.STOPPING && !run.step().done();
        if (!movable || !waiting.rank().before(rank)) {
          continue;
        }
        boolean lasting = run.step().spec().lasting().isPresent();
        if (lasting && missed.merge(run.step(), 1, Integer::sum) > run.step().mayMiss()) {
          continue;
        }
        if (run.step().spec().gang()) {
          gangs.add(run.step());
        } else {
          victims.add(victim(List.of(run), rank));
        }
      }
    }
    gangs.forEach(gang -> victims.add(victim(gang.liveRuns(), ranks.apply(gang))));
    victims.sort(
        Comparator.comparing(Victim::thrownAway)
            .thenComparing(Victim::rank, Comparator.reverseOrder()));
    return victims;
  }

  private Victim victim(List<LiveRun> runs, Rank rank) {
    double lost = 0;
    for (LiveRun run : runs) {
      double restore = run.step().spec().checkpointing() ? work.restoreSeconds() : 0;
      double seconds = START_SECONDS + restore + workedSeconds(run);
      lost += seconds * run.demand().coreEquivalents();
    }
    return new Victim(runs, rank, lost);
  }

  /** Returns the work of a run that is not saved. */
  private double workedSeconds(LiveRun run) {
    if (run.stage() != Stage.RUNNING) {
      return 0;
    }
    double seconds = (nowNanos - run.stageSince()) / NANOS_PER_SECOND;
    return run.step().spec().checkpointing() ? Math.min(seconds, work.unsavedSeconds()) : seconds;
  }
}
