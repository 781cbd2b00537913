package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.advice.AdviceDuty;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.JobDuty;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.OpenJob;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.preferences.WorkPreferences;

/** Carries plans out: stores each placement, then orders the start. */
public final class PlanDuty {

  private final JobDuty jobs;
  private final ExecutorDuty executors;
  private final AdviceDuty advice;
  private final Planner planner;
  private final List<LiveRun> stored = new ArrayList<>();
  private Map<String, Integer> guaranteedNeed = Map.of();

  /** Creates the duty. */
  public PlanDuty(JobDuty jobs, ExecutorDuty executors, AdviceDuty advice, WorkPreferences work) {
    this.jobs = jobs;
    this.executors = executors;
    this.advice = advice;
    this.planner = new Planner(step -> rank(step.job()), work);
  }

  /** Plans and carries the plan out. */
  public void step(BatchTurn turn) {
    guaranteedNeed = guaranteedNeed();
    List<WaitingStep> waiting = waiting(turn);
    if (waiting.isEmpty()) {
      return;
    }
    List<ExecutorState> usable =
        executors.book().all().stream()
            .filter(executor -> executor.usable(turn.nowNanos()))
            .toList();
    ask(waiting, usable, turn);
    Planner.Plan plan = planner.plan(waiting, usable, turn.nowNanos());
    for (Planner.Preemption stop : plan.stops()) {
      WaitingStep beneficiary = stop.beneficiary();
      String job = beneficiary.step().job().job().id();
      String cause = "job " + job + " needs its place, " + beneficiary.rank();
      executors.stop(stop.run(), cause, turn);
    }
    start(plan.starts(), turn);
  }

  /** Asks for advice on the first step that lacks it. */
  private void ask(List<WaitingStep> waiting, List<ExecutorState> usable, BatchTurn turn) {
    advice.forgetEnded();
    List<WaitingStep> advised =
        waiting.stream()
            .filter(step -> step.permitted().isPresent())
            .sorted(WaitingStep.ORDER)
            .toList();
    for (WaitingStep step : advised) {
      List<Incarnation> pool =
          usable.stream()
              .filter(executor -> executor.profile().pool().equals(step.pool()))
              .map(ExecutorState::incarnation)
              .toList();
      advice.ask(step.step(), pool, turn);
    }
  }

  private List<WaitingStep> waiting(BatchTurn turn) {
    List<WaitingStep> waiting = new ArrayList<>();
    for (OpenJob job : jobs.book().openJobs()) {
      if (!job.open()) {
        continue;
      }
      JobQueue queue = jobs.queue(job);
      for (StepProgress step : job.steps()) {
        if (!step.done() && job.mayRun(step, turn.wallMillis())) {
          collect(step, queue, waiting, turn);
        }
      }
    }
    return waiting;
  }

  private void collect(
      StepProgress step, JobQueue queue, List<WaitingStep> waiting, BatchTurn turn) {
    List<TaskProgress> tasks = step.waiting();
    boolean complete = !step.spec().gang() || tasks.size() == step.spec().count();
    if (tasks.isEmpty() || !complete) {
      return;
    }
    long accepted = step.job().job().acceptedMillis();
    StepTiming timing = timing(step, queue, turn);
    Optional<Set<Incarnation>> permitted =
        queue.advised() ? Optional.of(advice.permitted(step, turn.nowNanos())) : Optional.empty();
    for (List<TaskProgress> together : placedTogether(step, tasks)) {
      waiting.add(
          new WaitingStep(
              step, together, queue.pool(), rank(step.job()), accepted, timing, permitted));
    }
  }

  /** Tasks that may crash their executors are placed one by one, so that none hides another. */
  private static List<List<TaskProgress>> placedTogether(
      StepProgress step, List<TaskProgress> tasks) {
    if (step.spec().gang() || tasks.stream().noneMatch(task -> task.crashes().mayCrash())) {
      return List.of(tasks);
    }
    List<List<TaskProgress>> together = new ArrayList<>();
    List<TaskProgress> others = tasks.stream().filter(task -> !task.crashes().mayCrash()).toList();
    if (!others.isEmpty()) {
      together.add(others);
    }
    tasks.stream()
        .filter(task -> task.crashes().mayCrash())
        .forEach(task -> together.add(List.of(task)));
    return together;
  }

  private static StepTiming timing(StepProgress step, JobQueue queue, BatchTurn turn) {
    Submission submission = step.job().job().submission();
    long due = step.job().job().acceptedMillis();
    if (submission.schedule().isPresent()) {
      due = Math.max(due, submission.schedule().get().dueMillis(step.occurrence()));
    }
    long objective = queue.objectiveMillis(step.job().estimatedChainMillis());
    long spare = objective - step.estimatedChainMillis();
    long waited = Math.max(0, turn.wallMillis() - due);
    long queued = turn.nowNanos() - step.queuedSince(turn.nowNanos());
    if (step.spec().lasting().isPresent()) {
      return StepTiming.ofLasting(queued);
    }
    return new StepTiming(
        TimeUnit.MILLISECONDS.toNanos(waited),
        queued,
        TimeUnit.MILLISECONDS.toNanos(spare),
        TimeUnit.MILLISECONDS.toNanos(objective));
  }

  private Rank rank(OpenJob job) {
    JobQueue queue = jobs.queue(job);
    String organisation = job.job().organisation();
    int guaranteed = jobs.configuration().guaranteedAccelerators(organisation);
    int needed = guaranteedNeed.getOrDefault(organisation, 0);
    boolean covered = queue.priority() == 0 && needed > 0 && needed <= guaranteed;
    return covered ? Rank.GUARANTEED : Rank.ofPriority(queue.priority());
  }

  /** Returns the accelerators that the open jobs of priority 0 need, by organisation. */
  private Map<String, Integer> guaranteedNeed() {
    Map<String, Integer> need = new HashMap<>();
    for (OpenJob job : jobs.book().openJobs()) {
      if (job.open() && jobs.queue(job).priority() == 0) {
        int accelerators =
            job.steps().stream()
                .filter(step -> !step.done())
                .mapToInt(step -> step.spec().demand().accelerators() * step.spec().count())
                .sum();
        need.merge(job.job().organisation(), accelerators, Integer::sum);
      }
    }
    return need;
  }

  private void start(List<TaskPlacement> places, BatchTurn turn) {
    Set<OpenJob> touched = new LinkedHashSet<>();
    List<LiveRun> runs = new ArrayList<>();
    Map<StepProgress, Integer> gangRuns = new HashMap<>();
    for (TaskPlacement place : places) {
      StepProgress step = place.step();
      boolean gang = step.spec().gang();
      int number =
          gang
              ? gangRuns.computeIfAbsent(step, StepProgress::nextGangRun)
              : place.task().lastRun() + 1;
      String checkpoint = gang ? step.gangCheckpoint() : place.task().checkpoint();
      TaskRun name = new TaskRun(step.name(place.task()), number);
      Incarnation executor = place.executor().incarnation();
      Optional<String> ticket = advice.ticket(step, executor, turn.nowNanos());
      LiveRun run = LiveRun.placed(name, executor, step, checkpoint, ticket, turn.nowNanos());
      StepTiming timing = timing(step, jobs.queue(step.job()), turn);
      turn.stage("queued", timing.queuedNanos());
      step.begin(place.task(), run);
      place.executor().add(run);
      touched.add(step.job());
      runs.add(run);
      turn.note(
          BatchLogEvent.RUN_PLACED,
          name,
          run.incarnation(),
          place.executor().profile().rack(),
          rank(step.job()),
          TimeUnit.NANOSECONDS.toMillis(timing.waitedNanos()),
          TimeUnit.NANOSECONDS.toMillis(timing.spareNanos()));
    }
    for (OpenJob job : touched) {
      List<LiveRun> own = runs.stream().filter(run -> run.step().job() == job).toList();
      jobs.persist(job, () -> stored.addAll(own));
    }
  }

  /** Orders the starts whose placements have been stored since the last call. */
  public void startStored(BatchTurn turn) {
    for (LiveRun run : stored) {
      boolean held =
          executors.book().find(run.executor()).flatMap(state -> state.run(run.run())).isPresent();
      if (held && run.stage() == Stage.PLACED) {
        executors.start(run, turn);
      }
    }
    stored.clear();
  }
}
