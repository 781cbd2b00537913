package org.fescuehook.bench.soak.judge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.bench.soak.judge.JobCall.Result;
import org.fescuehook.standins.platform.MachineCall;
import org.fescuehook.standins.platform.RunEvent;

/** Puts the history of a run together by hand: two VMs and jobs of one kind. */
final class HistoryBuilder {

  static final int VMS = 2;
  static final String EXECUTOR = "x1-1";

  /** When all faults are over. */
  static final long QUIET = 100_000;

  /** When the record ends. */
  static final long END = QUIET + 60_000;

  private long born = 1;
  private int executors = 1;
  private final List<PlannedJob> jobs = new ArrayList<>();
  private final List<JobCall> calls = new ArrayList<>();
  private final List<JobCall> callsOfOthers = new ArrayList<>();
  private final List<RunEvent> runs = new ArrayList<>();
  private final List<MachineCall> machineCalls = new ArrayList<>();
  private final List<Disruption> disruptions = new ArrayList<>();
  private final List<String> selfEnded = new ArrayList<>();

  /** A job of two steps of one task each, the second after the first. */
  HistoryBuilder job(String id) {
    return job(id, spec(id));
  }

  private HistoryBuilder job(String id, String spec) {
    PlannedJob.Step first = new PlannedJob.Step(1, List.of());
    PlannedJob.Step second = new PlannedJob.Step(1, List.of(0));
    jobs.add(new PlannedJob(id, spec, List.of(first, second)));
    return this;
  }

  /** Hands in a job with one step with success. */
  HistoryBuilder accepted(String job, PlannedJob.Step step, long sent) {
    jobs.add(new PlannedJob(job, spec(job), List.of(step)));
    return call(Kind.SUBMIT, job, sent, 200, "");
  }

  /** Hands in a job with one step and a text of its own with success. */
  HistoryBuilder acceptedAs(String job, String spec, PlannedJob.Step step, long sent) {
    jobs.add(new PlannedJob(job, spec, List.of(step)));
    return call(Kind.SUBMIT, job, sent, 200, "");
  }

  /** Hands in a job of the queue that allows more attempts with success. */
  HistoryBuilder acceptedByRetriedQueue(String job, String spec, PlannedJob.Step step, long sent) {
    jobs.add(new PlannedJob(job, spec, List.of(step), PlannedJob.Queue.RETRIED));
    return call(Kind.SUBMIT, job, sent, 200, "");
  }

  /** Hands in a job of the queue that allows two attempts with success. */
  HistoryBuilder acceptedWithTwoAttempts(String job, String spec, PlannedJob.Step step, long sent) {
    jobs.add(new PlannedJob(job, spec, List.of(step), PlannedJob.Queue.TWO_ATTEMPTS));
    return call(Kind.SUBMIT, job, sent, 200, "");
  }

  /** Hands in a job of the small service with success. */
  HistoryBuilder acceptedBySmallService(String job, PlannedJob.Step step, long sent) {
    jobs.add(new PlannedJob(job, spec(job), List.of(step), PlannedJob.Queue.SMALL));
    return call(Kind.SUBMIT, job, sent, 200, "");
  }

  static String spec(String id) {
    return "run:100 " + id;
  }

  HistoryBuilder call(Kind kind, String job, long sent, int status, String state) {
    return call(kind, job, 0, sent, sent + 10, new Result.Answered(status, state));
  }

  /** Calls about a job from another queue or organisation. */
  HistoryBuilder callOfOther(Kind kind, String job, long sent, int status, String state) {
    Result answer = new Result.Answered(status, state);
    callsOfOthers.add(new JobCall(kind, job, 0, sent, sent + 10, answer));
    return this;
  }

  HistoryBuilder call(Kind kind, String job, int vm, long sent, long ended, Result result) {
    calls.add(new JobCall(kind, job, vm, sent, ended, result));
    return this;
  }

  /** Hands a job in with success. */
  HistoryBuilder accepted(String job, long sent) {
    return job(job).call(Kind.SUBMIT, job, sent, 200, "");
  }

  /** Hands a job with a text of its own in with success. */
  HistoryBuilder acceptedWith(String job, String spec, long sent) {
    return job(job, spec).call(Kind.SUBMIT, job, sent, 200, "");
  }

  HistoryBuilder started(String task, int run, long at) {
    String id = task.substring(0, task.indexOf('.'));
    String spec =
        jobs.stream()
            .filter(job -> job.id().equals(id))
            .findFirst()
            .map(PlannedJob::spec)
            .orElse(spec(id));
    return startedWith(task, run, spec, at);
  }

  /** A run under which its executor crashes. */
  HistoryBuilder crashed(String task, int run, long at) {
    return started(task, run, at).event(RunEvent.Kind.CRASHED, task, run, "", at + 20);
  }

  /** Has the executor start again under its id; what follows happens in its next life. */
  HistoryBuilder restarted() {
    born++;
    return this;
  }

  HistoryBuilder startedWith(String task, int run, String spec, long at) {
    return event(RunEvent.Kind.STARTED, task, run, spec, at);
  }

  HistoryBuilder event(RunEvent.Kind kind, String task, int run, String detail, long at) {
    runs.add(new RunEvent(kind, EXECUTOR, born, task, run, detail, at));
    return this;
  }

  /** A run that ends as done and whose end is taken note of. */
  HistoryBuilder ran(String task, int run, long from, long to) {
    return started(task, run, from)
        .event(RunEvent.Kind.ENDED, task, run, "done", to)
        .event(RunEvent.Kind.ACKNOWLEDGED, task, run, "done", to + 20);
  }

  /** A run that fails and whose end is taken note of. */
  HistoryBuilder failed(String task, int run, long from, long to) {
    return started(task, run, from)
        .event(RunEvent.Kind.ENDED, task, run, "failed", to)
        .event(RunEvent.Kind.ACKNOWLEDGED, task, run, "failed", to + 20);
  }

  /** A job that is accepted, runs and is shown as completed. */
  HistoryBuilder whole(String job, long at) {
    return accepted(job, at)
        .ran(job + ".0.0.0", 1, at + 50, at + 150)
        .ran(job + ".0.1.0", 1, at + 200, at + 300)
        .call(Kind.STATUS, job, at + 1000, 200, "completed");
  }

  HistoryBuilder disturbed(Disruption.Kind kind, int number, long from, long to) {
    disruptions.add(new Disruption(kind, number, from, to));
    return this;
  }

  HistoryBuilder executors(int count) {
    executors = count;
    return this;
  }

  HistoryBuilder selfEnded(String what) {
    selfEnded.add(what);
    return this;
  }

  /** Returns the promises that the history breaks. */
  Set<Promise> broken() {
    Findings findings = judge();
    return Arrays.stream(Promise.values())
        .filter(promise -> !findings.broken(promise).isEmpty())
        .collect(Collectors.toCollection(() -> EnumSet.noneOf(Promise.class)));
  }

  /** Records a maintenance call that was carried out. */
  HistoryBuilder maintained(int machine, String holder, long token, int away, int cap, long at) {
    machineCalls.add(new MachineCall(machine, 1, holder, token, "begun", 0, away, cap, at));
    return this;
  }

  Findings judge() {
    return Judge.judge(
        new History(
            VMS,
            executors,
            jobs,
            calls,
            callsOfOthers,
            runs,
            machineCalls,
            disruptions,
            QUIET,
            END,
            selfEnded));
  }
}
