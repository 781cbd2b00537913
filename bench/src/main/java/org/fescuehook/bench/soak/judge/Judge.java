package org.fescuehook.bench.soak.judge;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fescuehook.bench.soak.judge.IdleBesideFaultCheck.FaultInForce;

/** Checks all promises on the history of a run. */
public final class Judge {

  private Judge() {}

  /** Judges a history. */
  public static Findings judge(History history) {
    Findings findings = new Findings();
    Map<String, List<JobCall>> calls =
        history.calls().stream().collect(Collectors.groupingBy(JobCall::job));
    Map<String, List<TaskRun>> runs = TaskRun.byTask(history.runs());
    CallChecks callChecks = new CallChecks(history, runs, findings);
    RunChecks runChecks = new RunChecks(history, runs, findings);
    RunEndCheck runEnds = new RunEndCheck(history, runs, findings);
    IdleJobCheck idleJobs = new IdleJobCheck(history, runs, findings);
    var lateOrders = new IdleBesideFaultCheck(FaultInForce.LATE_ORDERS, history, runs, findings);
    var cuts = new IdleBesideFaultCheck(FaultInForce.EXECUTORS_CUT, history, runs, findings);
    CalmIdleCheck calm = new CalmIdleCheck(history, runs, findings);
    GangCheck gangs = new GangCheck(history, runs, findings);
    OddEntryCheck oddEntries = new OddEntryCheck(history, runs, findings);
    ServiceCheck services = new ServiceCheck(history, runs, findings);
    for (PlannedJob job : history.jobs()) {
      List<JobCall> ofJob = calls.getOrDefault(job.id(), List.of());
      callChecks.check(job, ofJob);
      runChecks.check(job, ofJob);
      runEnds.check(job, ofJob);
      idleJobs.check(job, ofJob);
      lateOrders.check(job, ofJob);
      cuts.check(job, ofJob);
      calm.check(job, ofJob);
      gangs.check(job, ofJob);
      oddEntries.check(ofJob);
      services.check(job, ofJob);
    }
    runChecks.checkUnasked();
    OwnJobCheck ownJobs = new OwnJobCheck(calls, findings);
    history.callsOfOthers().forEach(ownJobs::check);
    new PlannedWorkCheck(history, findings).check();
    new RecoveryCheck(history, calls, findings).check();
    new MaintenanceCheck(history, findings).check();
    findings.check(
        Promise.KEEPS_RUNNING,
        history.selfEnded().isEmpty(),
        String.join("; ", history.selfEnded()));
    return findings;
  }
}
