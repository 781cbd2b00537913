package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.admission.Admission;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.admission.LoadMeter;
import org.fescuehook.logic.batch.advice.AdviceCache;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.logic.batch.executor.Countdown;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorSign;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.ExecutorTimes;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.executor.ReachMonitor;
import org.fescuehook.logic.batch.executor.RunListener;
import org.fescuehook.logic.batch.maintenance.MaintenanceDuty;
import org.fescuehook.logic.batch.ownership.ReachReport;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.plan.PlanDuty;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.statistics.FormerFailures;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.preferences.BatchPreferences;

/** Schedules the batch jobs during one epoch, in which this VM is their owner. */
final class BatchOwner implements RunListener {

  /** Longest lease less the lease requested; it covers the time that an order takes to arrive. */
  private static final Duration LEASE_MARGIN = Duration.ofMillis(200);

  /**
   * How long an owner that cannot reach the store goes on renewing the leases of executors. An
   * outage of the store lasts about 10 s, and no other VM can become the owner during it.
   */
  static final Duration ISOLATION_LIMIT = Duration.ofSeconds(10);

  /** Longest time between two plans, and so the delay until a due step or preemption is seen. */
  private static final long MAX_PLAN_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

  /**
   * Time between two plans while further events are queued. A plan with hundreds of waiting tasks
   * takes 1 to 3 ms on a third of a core; planning after each event of a busy second would leave no
   * time for the events themselves.
   */
  private static final long BUSY_PLAN_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

  private final StateWriter writer;
  private final LoadMeter load;
  private final SchedulingStatistics statistics;
  private final Admission admission;
  private final ExecutorDuty executors;
  private final ReachMonitor reach;
  private final JobLifecycle jobs;
  private final CallerJobs callerJobs;
  private final AdviceCache advice;
  private final PlanDuty plans;
  private final MaintenanceDuty maintenance;
  private final SubmissionHandler submissions;
  private final UnknownJobHandler unknownJobs = new UnknownJobHandler();
  private final CancelHandler cancels;
  private final CallHandler calls;
  private final RecordMaintenance records;
  private final List<BatchCommand> outgoing = new ArrayList<>();

  private boolean fenced;
  private long plannedAt;

  BatchOwner(
      long epoch,
      BatchPreferences preferences,
      JobRegistry registry,
      BatchConfiguration configuration,
      Set<FailureDomain> evacuated,
      List<MaintenanceWave> waves,
      List<KeyedRecord> waveRecords,
      List<ExecutorProfile> listed,
      ConfigurationAge configurationAge,
      BatchContext context) {
    this.writer = new StateWriter(epoch, context);
    this.statistics = SchedulingStatistics.create(preferences.scheduling());
    Duration lease = preferences.executorLease();
    this.executors =
        new ExecutorDuty(
            epoch,
            new ExecutorTimes(
                lease.minus(LEASE_MARGIN),
                lease,
                ISOLATION_LIMIT.plus(lease).plus(lease.dividedBy(10)),
                preferences.work().gangTimeout()),
            this,
            statistics,
            context);
    this.reach = new ReachMonitor(executors.registry());
    this.jobs = new JobLifecycle(registry, writer, executors, statistics, configuration, context);
    this.callerJobs = new CallerJobs(jobs);
    this.advice = new AdviceCache(EpochNumbers.before(epoch), context);
    this.plans = new PlanDuty(jobs, executors, advice, preferences.work(), statistics, context);
    this.load = new LoadMeter(executors.registry(), plans, context);
    this.admission = new Admission(writer, preferences, load);
    this.maintenance =
        new MaintenanceDuty(
            epoch,
            preferences.maintenance(),
            executors,
            registry,
            writer,
            waveRecords,
            waves,
            context);
    this.submissions = new SubmissionHandler(jobs, callerJobs, writer, admission, outgoing);
    this.cancels = new CancelHandler(jobs, callerJobs, submissions, outgoing);
    this.calls =
        new CallHandler(
            jobs,
            callerJobs,
            submissions,
            cancels,
            unknownJobs,
            admission,
            configurationAge,
            outgoing);
    this.records =
        new RecordMaintenance(registry, statistics.speeds(), writer, preferences.statusRetention());
    executors.setPools(jobs.pools());
    listed.forEach(profile -> executors.handleEntry(profile, context));
    executors.evacuate(evacuated, context);
    executors.inherit(Takeover.inheritedRuns(registry), context);
    jobs.retireEnded(context);
  }

  /** Begins with the speeds of executors that a former owner has stored. */
  void restoreSpeeds(byte[] record) {
    statistics.speeds().restore(record);
  }

  /** Takes over when steps have failed under former owners. */
  void restoreFailures(FormerFailures failures, BatchContext context) {
    statistics.reliability().restore(failures, context.nowNanos());
  }

  /**
   * Returns whether an executor or the store reported a higher epoch, hence a newer owner. A higher
   * token at the machine API may come from elsewhere, so it ends the maintenance calls only.
   */
  boolean fenced() {
    return fenced;
  }

  /** Returns which executors this VM reaches; empty if it reaches nearly all. */
  Optional<ReachReport> reach(BatchContext context) {
    return admission.stopping() ? Optional.empty() : reach.report(context);
  }

  /** Returns the maintenance of machines. */
  MaintenanceDuty maintenance() {
    return maintenance;
  }

  /** Applies a newer configuration. */
  void configure(BatchConfiguration newer) {
    jobs.configure(newer);
    executors.setPools(jobs.pools());
  }

  /** Replaces the evacuated failure domains. */
  void evacuate(Set<FailureDomain> domains, BatchContext context) {
    executors.evacuate(domains, context);
    jobs.changed();
  }

  /**
   * Applies an entry of the list of executors. Executors rewrite their entries every second or two,
   * mostly unchanged; planning for each of these would overload a weak VM with a large fleet.
   */
  void seen(ExecutorProfile profile, BatchContext context) {
    if (executors.handleEntry(profile, context)) {
      jobs.changed();
    }
  }

  /** Marks an executor as no longer listed. */
  void unlisted(ExecutorId id) {
    executors.unlisted(id);
  }

  /** Applies the outcome of an order to an executor. */
  void orderEnded(ExecutorId id, long number, OrderOutcome outcome, BatchContext context) {
    if (executors.orderCompleted(id, number, outcome, context)) {
      jobs.changed();
    }
  }

  /** Applies an answer of the advice service. */
  void advised(long number, AdviceOutcome outcome, BatchContext context) {
    advice.answered(number, outcome, context);
    jobs.changed();
  }

  /** Applies the outcome of an append to the job stream. */
  void appended(WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (!writer.appendCompleted(position, outcome, context)) {
      fenced = true;
    }
  }

  /** Refuses submissions and starts no runs from now on. */
  void beginStop() {
    admission.beginStop();
  }

  /** Returns whether all changes are stored. */
  boolean allStored() {
    return writer.idle();
  }

  /**
   * Performs the work that is due: answers calls, plans, sends orders and stores changes.
   *
   * @param contact how well the store can be reached, judged by the heartbeats
   */
  void step(StoreReachability contact, BatchContext context) {
    long storeSeenAt = admission.update(contact, context);
    writer.recordOtherStreamAppend(contact.longestAppendNanos());
    writer.expire(context);
    cancels.step(context);
    unknownJobs.step(contact.confirmedAt(), callerJobs::storedPhase, context);
    if (context.nowNanos() - storeSeenAt < ISOLATION_LIMIT.toNanos()) {
      executors.step(context);
    }
    jobs.step(context);
    maintenance.step(contact, admission.stopping(), context);
    plans.startStored(context);
    boolean planNow =
        !context.moreEventsQueued() || context.nowNanos() - plannedAt > BUSY_PLAN_INTERVAL_NANOS;
    if (!admission.stopping() && planNow && jobs.takeChanged()) {
      plannedAt = context.nowNanos();
      plans.step(context);
    }
    records.step(admission.stopping(), context);
    writer.flush(context);
    outgoing.forEach(context::add);
    outgoing.clear();
  }

  /**
   * Requests a plan even if nothing changed, since the scheduled start time of a step may have
   * come.
   */
  void timePassed(BatchContext context) {
    if (context.nowNanos() - plannedAt > MAX_PLAN_INTERVAL_NANOS) {
      jobs.changed();
    }
  }

  /** Ends the epoch and answers all calls that still wait. */
  void close(BatchContext context) {
    writer.close();
    cancels.close();
    unknownJobs.close(context);
    outgoing.forEach(context::add);
    outgoing.clear();
  }

  /**
   * Handles a call; it is answered at once, or once its effect is stored.
   *
   * @param contact how well the store can be reached, judged by the heartbeats
   */
  void handleCall(BatchEvent.Called event, StoreReachability contact, BatchContext context) {
    calls.handle(event, contact, context);
  }

  @Override
  public void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context) {
    load.ended(run, end.end());
    jobs.ended(run, end, stored, context);
  }

  @Override
  public void strayEnded(EndedRun end, Countdown stored, BatchContext context) {
    jobs.strayEnded(end, stored, context);
  }

  @Override
  public void lost(LiveRun run, String cause, BatchContext context) {
    jobs.lost(run, context);
  }

  @Override
  public void lostWithExecutor(LiveRun run, CrashEvidence evidence, BatchContext context) {
    jobs.lostWithExecutor(run, evidence, context);
  }

  @Override
  public void observed(ExecutorSign sign, BatchContext context) {
    jobs.observed(sign, context);
  }

  @Override
  public void startRejected(LiveRun run, Rejection rejection, BatchContext context) {
    if (rejection == Rejection.NO_TICKET) {
      advice.rejected(run.step(), run.incarnation());
    }
    jobs.startRejected(run, rejection, context);
  }

  @Override
  public void startNotSent(LiveRun run, BatchContext context) {
    jobs.startNotSent(run, context);
  }

  @Override
  public void startGivenUp(LiveRun run, BatchContext context) {
    jobs.stops().startGivenUp(run, context);
  }

  @Override
  public void foundRunning(LiveRun run, BatchContext context) {
    jobs.stops().foundRunning(run, context);
  }

  @Override
  public void checkpointSaved(LiveRun run, String checkpoint) {
    jobs.checkpointSaved(run, checkpoint);
  }

  @Override
  public void runStalled(LiveRun run, BatchContext context) {
    jobs.stops().runStalled(run, context);
  }

  @Override
  public void leaving(ExecutorState executor, BatchContext context) {
    jobs.stops().leaving(executor, context);
  }

  @Override
  public void fenced(BatchContext context) {
    fenced = true;
  }
}
