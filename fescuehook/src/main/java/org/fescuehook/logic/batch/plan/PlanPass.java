package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.PlannedUsage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;

/** The plan of one pool while it is made. */
final class PlanPass {

  /**
   * Share of the executors from which on no further one is used for single tasks that may crash it,
   * since these keep other work away for a while.
   */
  private static final double MAX_PROBATION_SHARE = 0.5;

  private static final Optional<HeldBy> STARTED = Optional.of(HeldBy.NOTHING);

  private final FleetCapacity available;
  private final FleetCapacity expected;
  private final FleetCapacity total;
  private final PlannedTasks planned = new PlannedTasks();
  private final List<TaskPlacement> starts = new ArrayList<>();
  private final List<Planner.Preemption> stops = new ArrayList<>();
  private final List<WaitingStep> deferred = new ArrayList<>();
  private final List<HeldStep> held = new ArrayList<>();
  private final List<TaskPlacement> kept = new ArrayList<>();
  private final AdviceNeeds adviceNeeds = new AdviceNeeds();

  private final PlannedUsage usage;
  private final UrgentReserve urgentReserve;
  private final Preemptor preemptor;
  private final FasterPlace fasterPlace;
  private final PlanReservations reservations;
  private final FreedCapacity freedCapacity;
  private final RoomSearch roomSearch;
  private final PlacementWaits waits;
  private final ReliabilityWaits reliabilityWaits;
  private final AvoidanceChoice avoidances;
  private final long nowNanos;

  /** Whether reservations limit the step that is being planned. */
  private boolean limited;

  PlanPass(
      Collection<ExecutorState> executors,
      UnusableCapacity silent,
      UnusableCapacity unusable,
      SpeedClasses speeds,
      PlannedUsage usage,
      NearlyLateUse nearlyLateUse,
      Preemptor preemptor,
      RunForecast forecast,
      SchedulingStatistics statistics,
      ReservationBook reservationBook,
      FreedCapacity freedCapacity,
      long guaranteedNearnessWaitNanos,
      long nowNanos) {
    this.usage = usage;
    this.preemptor = preemptor;
    this.fasterPlace = new FasterPlace(forecast, guaranteedNearnessWaitNanos);
    available = FleetCapacity.available(executors, planned, speeds, statistics, nowNanos);
    expected = FleetCapacity.available(executors, planned, speeds, statistics, nowNanos);
    total = FleetCapacity.total(executors, planned, statistics, nowNanos);
    this.waits =
        new PlacementWaits(
            available, total, silent, unusable, forecast, guaranteedNearnessWaitNanos);
    this.reliabilityWaits =
        new ReliabilityWaits(available, total, waits, statistics.reliability(), nowNanos);
    this.urgentReserve = new UrgentReserve(available, total, waits, nearlyLateUse);
    this.avoidances = new AvoidanceChoice(available, total, waits, nowNanos);
    this.nowNanos = nowNanos;
    for (ExecutorState executor : executors) {
      for (LiveRun run : executor.runs()) {
        // What ends by itself is free as early as what is stopped now.
        if (run.stage() == Stage.STOPPING || forecast.endsByItself(run)) {
          expected.release(executor, run.demand());
        }
      }
    }
    reservations =
        new PlanReservations(
            available,
            expected,
            total,
            new ExpectedEnds(executors, nowNanos, PlanReservations.HORIZON_NANOS),
            reservationBook,
            nowNanos);
    this.freedCapacity = freedCapacity;
    this.roomSearch = new RoomSearch(preemptor, expected, freedCapacity, nowNanos);
  }

  void planStep(WaitingStep unrestricted) {
    // Where a step has to run must not depend on which tickets it happens to have.
    WaitingStep waiting =
        freedCapacity
            .sinceStops(
                avoidances.restrict(
                    unrestricted.anticipatingAdvice(), reliabilityWaits::withRequirement),
                nowNanos)
            .advised(unrestricted.advice());
    limited =
        reservations.limit(waiting)
            && !waits.serviceIdleFor(waiting, PlacementWaits.IDLE_WAIT_NANOS);
    boolean gang = waiting.step().spec().gang();
    Optional<HeldBy> rule = gang ? planGang(waiting) : planTasks(waiting);
    if (!rule.equals(STARTED)) {
      HeldStep.View view = new HeldStep.View(available, open(), kept, waits);
      held.add(new HeldStep(unrestricted, waiting, rule, view));
    }
  }

  /** Plans single tasks; returns the rule that holds them, or nothing if there is no place. */
  private Optional<HeldBy> planTasks(WaitingStep waiting) {
    int allowedStarts = allowedStarts(waiting);
    if (allowedStarts == 0 || waitsForProbation(waiting)) {
      reservations.waitingAhead(waiting, waiting.tasks().size());
      return Optional.of(allowedStarts == 0 ? tooFewAllowed(waiting) : HeldBy.CRASH_SUSPICION);
    }
    List<TaskPlacement> placements =
        open()
            .firstGroup(waiting, waits.nearOnly(waiting))
            .map(group -> FleetCapacity.placeTasks(waiting, waiting.tasks(), group))
            .orElse(List.of());
    if (placements.isEmpty() && waits.serviceIdleFor(waiting, PlacementWaits.IDLE_WAIT_NANOS)) {
      placements = ExtraTrial.place(waiting, open(), waits.nearOnly(waiting));
    }
    placements = placements.subList(0, Math.min(placements.size(), allowedStarts));
    placements.forEach(this::start);
    reservations.waitingAhead(waiting, waiting.tasks().size() - placements.size());
    Optional<HeldBy> rule = placements.isEmpty() ? Optional.empty() : STARTED;
    WaitingStep left = waiting.withoutFirst(placements.size());
    if (left.tasks().isEmpty() || (!left.urgent() && left.advice().isEmpty())) {
      return rule;
    }
    // Evaluated again: these starts may have filled a fleet that was idle before, and only an
    // idle fleet has capacity to spare for starts away from the data.
    boolean nearOnly = waits.nearOnly(waiting);
    int allowed = allowedStarts - placements.size();
    boolean stops =
        !adviceNeeds.addTasks(left, allowed, open(), nearOnly)
            && waiting.urgent()
            && waitOrPreempt(left, nearOnly);
    return stops && placements.isEmpty() ? Optional.of(HeldBy.STOPS) : rule;
  }

  /** Tells whether tasks that may crash executors wait, as too many executors are kept for such. */
  private boolean waitsForProbation(WaitingStep waiting) {
    return waiting.mayCrash()
        && available.share(CandidateExecutor::onProbation) >= MAX_PROBATION_SHARE;
  }

  /** Plans a gang; returns the rule that holds it, or nothing if there is no place. */
  private Optional<HeldBy> planGang(WaitingStep waiting) {
    if (allowedStarts(waiting) < waiting.tasks().size()) {
      blocked(waiting);
      return Optional.of(tooFewAllowed(waiting));
    }
    boolean nearOnly = waits.nearOnly(waiting);
    Optional<List<TaskPlacement>> now = RoomSearch.place(waiting, open(), nearOnly);
    if (now.isPresent()) {
      Optional<FasterPlace.Place> faster = fasterPlace.find(waiting, now.get(), open(), nearOnly);
      if (faster.isPresent() && !faster.get().free()) {
        deferred.add(waiting);
        keep(faster.get().placements());
        return Optional.of(HeldBy.FASTER_EXECUTORS);
      }
      faster.map(FasterPlace.Place::placements).orElse(now.get()).forEach(this::start);
      return STARTED;
    }
    if (needTicketsToStart(waiting, nearOnly)) {
      blocked(waiting);
      return Optional.of(HeldBy.ADVICE);
    }
    if (waitOrPreempt(waiting, nearOnly)) {
      return Optional.of(HeldBy.STOPS);
    }
    blocked(waiting);
    return Optional.empty();
  }

  /**
   * Notes the tickets with which a gang would start now.
   *
   * @return whether there is capacity that only tickets bar from the gang
   */
  private boolean needTicketsToStart(WaitingStep gang, boolean nearOnly) {
    if (gang.advice().isEmpty()) {
      return false;
    }
    WaitingStep anticipating = gang.anticipatingAdvice();
    Optional<List<TaskPlacement>> now = RoomSearch.place(anticipating, open(), nearOnly);
    now.ifPresent(found -> adviceNeeds.addAll(anticipating, found, open(), nearOnly));
    return now.isPresent();
  }

  /**
   * Reserves capacity for a gang that does not start. Advice is anticipated, since tickets are
   * requested only once the gang fits.
   */
  private void blocked(WaitingStep waiting) {
    if (reservations.mayReserve(waiting)) {
      reservations.reserveLater(
          waiting.anticipatingAdvice(), waits.nearOnly(waiting), urgentReserve.keptFree(waiting));
    }
  }

  /** Returns what is free now for the step that is being planned. */
  private FleetCapacity open() {
    return limited ? reservations.available() : available;
  }

  /**
   * Keeps capacity that is being freed for the step, or else preempts other runs for it.
   *
   * @return whether the step has capacity then
   */
  private boolean waitOrPreempt(WaitingStep waiting, boolean nearOnly) {
    FleetCapacity later = limited ? reservations.expected() : expected;
    Optional<Preemptor.Selection> selection = roomSearch.find(waiting, later, nearOnly);
    if (selection.isPresent()) {
      preemptor.markApplied(selection.get());
      selection.get().victims().forEach(run -> stops.add(new Planner.Preemption(run, waiting)));
      keep(selection.get().placements());
      freedCapacity.ordered(waiting, selection.get(), nowNanos);
    }
    List<TaskPlacement> freed =
        selection.isPresent() ? List.of() : freedCapacity.kept(waiting, nowNanos);
    keep(freed);
    if (waiting.advice().isPresent()) {
      WaitingStep anticipating = waiting.anticipatingAdvice();
      selection
          .or(() -> roomSearch.find(anticipating, later, nearOnly))
          .ifPresent(room -> adviceNeeds.addAll(anticipating, room.placements(), total, nearOnly));
    }
    return selection.isPresent() || !freed.isEmpty();
  }

  /**
   * Returns how many tasks of a step may start without using the capacity kept for urgent work or
   * reserved for gangs.
   */
  private int allowedStarts(WaitingStep waiting) {
    int allowed = urgentReserve.allowedStarts(waiting);
    if (!limited || allowed == Integer.MAX_VALUE) {
      return allowed;
    }
    int accelerators = waiting.step().spec().demand().accelerators();
    return Math.min(allowed, reservations.spareAccelerators() / accelerators);
  }

  private HeldBy tooFewAllowed(WaitingStep waiting) {
    return urgentReserve.holdsBack(waiting) ? HeldBy.URGENT_RESERVE : HeldBy.RESERVATION;
  }

  private void start(TaskPlacement placement) {
    starts.add(placement);
    reserve(placement);
  }

  /** Keeps places for a step that starts there later. */
  private void keep(List<TaskPlacement> placements) {
    placements.forEach(this::reserve);
    kept.addAll(placements);
  }

  private void reserve(TaskPlacement placement) {
    planned.add(placement);
    available.reserve(placement);
    expected.reserve(placement);
    reservations.reserve(placement, limited);
    StepProgress step = placement.step();
    usage.add(step.job().job().organisation(), step.spec().demand());
  }

  /**
   * Returns the plan of the pool.
   *
   * @param considered the steps in the order in which they were planned
   */
  Planner.Plan plan(List<PlanOrder.Considered> considered) {
    return new Planner.Plan(
        starts,
        stops,
        deferred,
        considered,
        reservations.made(),
        urgentReserve.heldBack(),
        held,
        adviceNeeds.all());
  }
}
