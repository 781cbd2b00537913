package org.fescuehook.logic.batch;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the decisions about batch jobs. */
public enum BatchLogEvent implements NumberedEvent {
  /** The newest ownership record has another epoch than the previous one. */
  OWNER_SEEN(8000, "Owner is {} at epoch {} by its {}"),
  /** This VM's claim was stored as the valid one, so this VM is the owner. */
  OWNERSHIP_WON(8001, "Ownership won at epoch {}"),
  /** This VM is no longer the owner. */
  OWNERSHIP_LOST(8002, "Ownership of epoch {} lost: {}"),
  /** The new owner has loaded the jobs and begins to schedule them. */
  OWNING(8003, "Deciding since epoch {}: {} open jobs, {} live runs, loaded in {} ms"),
  /** A newer configuration is in force. */
  CONFIGURATION_IN_FORCE(8004, "Configuration {} in force: {} queues, {} organisations"),
  /** This VM is the owner but has not loaded all it needs; logged once a second. */
  TAKEOVER_UNDER_WAY(8005, "Take-over of epoch {} not complete after {} ms: waits for {}"),
  /** This VM claims ownership. */
  OWNERSHIP_CLAIMED(
      8006,
      "Ownership claimed after {} ms of silence; bounds: longest gap {} ms, usual gap {} ms, delay {} ms"),
  /** A job was accepted and stored. */
  JOB_ACCEPTED(
      8010,
      "Job {} accepted: queue {} organisation {} tasks {} work {} core-s chain {} ms objective {} ms"),
  /** A submission was refused. */
  JOB_REFUSED(8011, "Job {} refused: {}, come back after {} ms"),
  /** It is not known whether a submission was stored. */
  JOB_UNDECIDED(8012, "Job {} undecided: {}"),
  /** A job reached its final state. */
  JOB_ENDED(8013, "Job {} ended {} after {} ms"),
  /** A caller cancelled a job that the owner does not know. */
  UNKNOWN_JOB_CANCELLED(8014, "Cancel of job {}, which is not known"),
  /** A job was submitted after it had been cancelled. */
  CANCELLED_JOB_ACCEPTED(8015, "Job {} accepted as cancelled: its cancel came before it"),
  /** A submission was refused, since a job of another queue or organisation has its id. */
  JOB_ID_IN_USE(8016, "Job {} of queue {} refused: a job of queue {} has its id"),
  /** A run was placed on an executor, and the placement is being stored. */
  RUN_PLACED(
      8020,
      "Run {} placed on {} in rack {}: {}, waited {} ms of {} ms to spare, beside {} of its step, limit {}"),
  /** An executor confirmed the start of a run. */
  RUN_STARTED(8021, "Run {} started on {} after {} ms"),
  /** The owner ordered a run to stop. */
  RUN_STOPPING(8022, "Run {} on {} is stopped: {}"),
  /** A run has ended. */
  RUN_ENDED(8023, "Run {} on {} ended {} at {} percent after {} ms"),
  /** A run is known to be dead although its executor reported no end of it. */
  RUN_LOST(8024, "Run {} on {} lost: {}"),
  /** An executor reported a run that the owner does not know. */
  RUN_UNKNOWN(8025, "Run {} on {} is not wanted and is stopped"),
  /** A run was lost together with its executor. */
  RUN_LOST_WITH_EXECUTOR(
      8026,
      "Run {} was on {} when it was lost: {}, age at its last answer {}, {} other runs there"),
  /** A task is not started again, since it seems to crash the executors that run it. */
  TASK_GIVEN_UP(
      8027,
      "Task {} given up: {} executors crashed soon after its start, {} later, {} were lost otherwise"),
  /** An order to stop a run was answered or timed out. */
  STOP_ORDER_ENDED(8028, "Stop of run {} on {}, order {}: {} after {} ms"),
  /** An executor runs a task that a placement rule of its step does not allow there. */
  PLACEMENT_RULE_BROKEN(8029, "Run {} on {} breaks a placement rule of its step: {}"),
  /** An executor answered its first poll, or answers again. */
  EXECUTOR_REACHED(
      8030, "Executor {} reached, {} runs there; {} polls unanswered before, the first {} ms ago"),
  /** An executor does not answer polls. */
  EXECUTOR_SILENT(8031, "Executor {} silent: {}, {} runs there, leases end in {} ms"),
  /** An executor announced that it will leave. */
  EXECUTOR_LEAVING(8032, "Executor {} is leaving, {} runs there"),
  /** An executor is lost together with its runs. */
  EXECUTOR_GONE(8033, "Executor {} gone: {}, {} runs lost"),
  /** An executor is in backoff: it is given no new runs for a while. */
  EXECUTOR_RESTED(8034, "Executor {} rests for {} ms: {}"),
  /** Runs on an executor are throttled, or released again, to protect tasks that serve users. */
  WORK_PACED(8035, "Work on {} is paced to {} percent: a task is at {} percent of its bound"),
  /** The advice service answered which executors may run a step. */
  ADVICE_GIVEN(8036, "Step {} may run on {} of {} executors, for {} ms, answered after {} ms"),
  /** The advice service did not answer. */
  ADVICE_MISSING(8037, "No advice on step {} for {} executors: {}"),
  /** An executor was removed: it is no longer listed, and no run of it is unresolved. */
  EXECUTOR_FORGOTTEN(8038, "Executor {} forgotten: it is not listed, and nothing runs there"),
  /** An executor restarted under the same id. */
  EXECUTOR_RESTARTED(8039, "Executor {} started again as {}: told by its {}, {} runs there"),
  /** A stored record cannot be decoded. */
  RECORD_UNREADABLE(8040, "Record {} cannot be read: {}"),
  /** The operators have evacuated failure domains or given some back. */
  EVACUATIONS_CHANGED(
      8041,
      "Evacuated failure domains: {}, before: {}; operators' stream read to {}, previous read {} ago"),
  /** No executor that the owner knows is in an evacuated failure domain. */
  EVACUATED_DOMAIN_UNKNOWN(8042, "No executor is in failure domain {}, which is evacuated"),
  /**
   * A job waits because it fits only if executors of evacuated failure domains are used as well.
   */
  WAITS_FOR_EVACUATED_DOMAIN(
      8043, "Job {} waits for evacuated failure domains: step {} needs room for {} tasks"),
  /** A step keeps waiting beside executors with free capacity that it may not use at present. */
  BARRED_FROM_FREE_CAPACITY(
      8044,
      "Step {} has waited {} ms though {} executors have capacity: runs of it failed on {}, {} are doubted, {} lack advice"),
  /** An executor does not list runs that it would list if they were alive. */
  RUNS_UNLISTED(
      8045,
      "Executor {} does not list {} runs that were there; it lists {} live runs and {} ends, the last one {}"),
  /** An executor does not list runs that may have ended, since its list of ends is cut. */
  ENDS_CUT(
      8046,
      "Executor {} does not list {} runs; it lists {} live runs and {} ends, the last one {}, and may hold more"),
  /** It is known what became of an executor that was lost without a sign of a crash. */
  LOSS_RESOLVED(8047, "Lost executor {} has {}: {} tasks had run there"),
  /** A step keeps waiting since the free capacity of its pool is kept for urgent work. */
  HELD_BACK_FOR_URGENT_WORK(
      8048,
      "Step {} has waited {} ms: {} of {} accelerators of pool {} are free, {} stay free for urgent work"),
  /** Answers of executors begin to be lost, or are no longer lost. */
  ANSWERS_LOST(8049, "About {} percent of the answers of executors are lost"),
  /** Reports show that an executor has suddenly become slow, or has its lasting speed again. */
  EXECUTOR_SPEED_CHANGED(
      8050,
      "Executor {} now works at {} percent of the usual speed; its lasting speed is {} percent"),
  /** An urgent gang could start, but ends earlier on faster executors that are expected soon. */
  WAITS_FOR_FASTER_EXECUTORS(
      8051, "Job {} step {} waits for faster executors; waited {} ms, objective {} ms"),
  /** A run moves to another executor, since its own has become slow. */
  RUN_MOVES(8052, "Run {} moves away from {}, which works at {} percent; {} ms left there"),
  /** A run is stopped because such runs hold too much capacity while others wait. */
  OVERLONG_RUN_STOPPED(
      8053, "Run {} on {} has taken {} percent of its expected time; such runs hold {} percent"),
  /** Nothing of a job runs although there is capacity and at most half of its pool is in use. */
  JOB_IDLE(
      8054,
      "Job {} has had nothing running for {} ms, with capacity for {} ms: step {}, {} of {} attempts failed; {} of {} accelerators are free, {} of them usable, {} stay free for urgent work"),
  /** Evidence makes it likely that an executor fails the runs that it starts. */
  EXECUTOR_DOUBTED(8055, "Executor {} is doubted: {}, faulty with a probability of {} percent"),
  /** Runs that ended well outweigh the evidence against an executor. */
  EXECUTOR_TRUSTED(8056, "Executor {} is trusted again: runs there have ended well"),
  /** A step fails on executors that are not faulty, so that its job is the cause. */
  JOB_FAILS_EVERYWHERE(
      8057,
      "Step {} has failed on {} executors and is the cause itself; none of them is doubted for it"),
  /** Many executors became faulty at the same time. */
  FAILURE_WAVE(
      8058, "Runs fail on {} percent of the executors on which runs ended in the last second"),
  /** A run is placed on a doubted executor. */
  DOUBTED_EXECUTOR_TRIED(
      8059, "Run {} is a trial of executor {}, faulty with a probability of {} percent"),
  /** An organisation uses more than its share while others wait; its jobs go behind theirs. */
  SHARE_EXCEEDED(
      8060,
      "Organisation {} exceeds its share: uses {} of it, holds {}, held {}, entitled to {} of the fleet"),
  /** An organisation that exceeded its share keeps it again. */
  SHARE_KEPT(
      8061,
      "Organisation {} keeps its share: uses {} of it, holds {}, held {}, entitled to {} of the fleet"),
  /** A step waits behind later ones, since its organisation uses more than theirs. */
  JOB_DEFERRED(
      8062,
      "Job {} waits behind later jobs: step {}, {} uses more of its share ({}) than {} ({}), whose"
          + " job {} starts"),
  /** A gang that does not fit yet has a reservation. */
  RESERVATION_MADE(
      8063,
      "Job {} has a reservation: step {}, {} tasks on {} executors from rack {} on, expected in {} ms"),
  /** A gang has not started although its reservation began some time ago. */
  RESERVATION_MISSED(
      8064, "Job {} has missed its reservation: step {}, expected {} ms ago; others go first"),
  /** A submission is refused since its job would start too late to be of use. */
  START_TOO_LATE(
      8065,
      "Job {} of organisation {} would start too late: in {} ms, useful for {} ms; ahead {} pool-s, refused earlier {} pool-s, drained {} pool-s per s"),
  /** A job that was refused before is admitted. */
  REFUSED_JOB_ADMITTED(
      8066, "Job {} of organisation {} admitted after {} refusals, {} ms after the first"),
  /** More jobs are refused than the owner remembers; logged once a second. */
  REFUSED_JOBS_FULL(
      8067,
      "More than {} refused jobs: the oldest of organisation {} count as new when they return"),
  /** Connections of the owner to some executors time out; logged every 5 s at most. */
  EXECUTORS_UNREACHABLE(
      8068, "Connections to {} executors time out, {} others are reached; some of the former: {}"),
  /** A VM has probed executors to find out whether it reaches more of them than the owner. */
  REACH_COMPARED(
      8069,
      "Reaches {} of {} probed executors out of {} that the owner does not reach, and {} of {} out of {} that it reaches: {} than the owner"),
  /** Operators ask for a maintenance wave, or have changed it. */
  WAVE_ASKED(8070, "Maintenance wave {}: {} machines, at most {} away, due in {} ms, {} begun"),
  /** Operators have withdrawn a maintenance wave. */
  WAVE_WITHDRAWN(8071, "Maintenance wave {} withdrawn, {} machines may be away"),
  /** The executor of a machine of a wave gets no new runs. */
  MACHINE_CLOSED(
      8072,
      "Machine {} of wave {} closed: {} has {} runs, idle in {} ms; {} closed, {} of {} away, {} left, due in {} ms, work waits: {}"),
  /** Runs are stopped so that the maintenance of their machine can begin. */
  MACHINE_CLEARED(8073, "Machine {} of wave {} cleared of {} runs: {}, {} ms to spare"),
  /** The maintenance of a machine is called. */
  MAINTENANCE_CALLED(
      8074, "Maintenance of machine {} for wave {} called, try {}: {}, {} of {} away"),
  /** A maintenance call has ended. */
  MAINTENANCE_CALL_ENDED(8075, "Maintenance of machine {} for wave {}, try {}: {} after {} ms"),
  /** A machine whose maintenance was called is up. */
  MACHINE_BACK(8076, "Machine {} of wave {} is up with {} after {} ms, was {}"),
  /** Each machine of a wave that still exists has begun its maintenance. */
  WAVE_COMPLETED(8077, "Maintenance wave {} completed after {} ms: {} begun, {} gone"),
  /** A wave makes no progress, or its deadline has passed; logged every 10 s. */
  WAVE_DELAYED(
      8078, "Maintenance wave {} waits: {} left, {} closed, {} of {} away, due in {} ms; {}"),
  /** The list of machines cannot be read; logged every 10 s. */
  MACHINES_UNREADABLE(8079, "The list of machines cannot be read: {}"),
  /** A maintenance call was refused because of a higher token. */
  MAINTENANCE_STOPPED(
      8080, "No more maintenance calls by this owner: machine {} was called with a higher token"),
  /** What keeps a job that has nothing running from the executors with capacity for it. */
  IDLE_JOB_BARRED(
      8081,
      "Job {} waits beside {} executors with capacity: {} rest, {} have unknown runs, {} do not answer, {} are closed, {} are doubted, {} lack proof, {} failed runs of it, {} lack advice, {} do not suit, {} are open to it"),
  /** A gang has lost a member and starts again as a whole. */
  GANG_BROKEN(
      8082,
      "Gang broken by run {} on {}: {}, {} ms after its placement; {} of the other {} members had started, {} accelerators were held"),
  /** A step has not started although the runs have ended that were stopped for it. */
  FREED_CAPACITY_UNUSED(
      8083,
      "Job {} step {} does not start where {} runs were stopped for it {} ms ago, round {}: it accepts executors faulty with {} percent at most, {}; of {} executors {} get no work, {} are doubted, {} lack proof, {} are avoided, {} are taken, by {}"),
  /** Which rule of the plan keeps a job waiting that has nothing running. */
  IDLE_JOB_HELD(
      8085,
      "Job {} is held by {}: step {}, {} tasks; newest evidence against a doubted executor with capacity: {}; this owner began {} ms ago");

  private final int number;
  private final String format;

  BatchLogEvent(int number, String format) {
    this.number = number;
    this.format = format;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String format() {
    return format;
  }
}
