package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.advice.AdviceCache;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.executor.Countdown;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.executor.RunListener;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.plan.PlanDuty;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.BatchPreferences;

/** The owner's work during one epoch. */
final class BatchOwner implements RunListener {

  /** When callers come back at the soonest after a refusal. */
  private static final long COME_BACK_MILLIS = 1000;

  /**
   * When they come back at the latest: their few attempts then span some 12 s, the longest outage
   * of the store that the users expect.
   */
  private static final long LATEST_COME_BACK_MILLIS = 3000;

  /** Part of the longest lease that is asked for; the rest covers the order's way. */
  private static final Duration LEASE_SLACK = Duration.ofMillis(200);

  /**
   * How long an owner that cannot reach the store goes on renewing leases. An outage of the store
   * lasts some 10 s; another owner cannot exist while it lasts.
   */
  static final Duration ISOLATION_LIMIT = Duration.ofSeconds(10);

  /**
   * Age of the store's last word above which a submission is refused and not sent, while the store
   * is quick: what is sent without an answer leaves its caller uncertain.
   */
  private static final Duration REACHABLE = Duration.ofMillis(1200);

  /** How long a caller waits at most; calls that other VMs pass on do not tell it. */
  private static final long CALLER_NANOS = Duration.ofMillis(2800).toNanos();

  /** Longest time without a plan; patience and due times are kept to it. */
  private static final long PLAN_ANYWAY_NANOS = Duration.ofMillis(200).toNanos();

  /**
   * Time between plans while more events wait. A plan with hundreds of waiting tasks takes 1 to 3
   * ms on a third of a core; one for each event of a busy second would leave no time for the
   * events.
   */
  private static final long PLAN_BEHIND_NANOS = Duration.ofMillis(50).toNanos();

  private final BatchPreferences preferences;
  private final StateWriter writer;
  private final ExecutorDuty executors;
  private final JobLifecycle jobs;
  private final AdviceCache advice;
  private final PlanDuty plans;
  private final SubmissionDesk submissions;
  private final UnknownJobDesk unknownJobs = new UnknownJobDesk();
  private final CancelDesk cancels;
  private final List<BatchCommand> ready = new ArrayList<>();

  private boolean fenced;
  private boolean stopping;
  private long storeAgeMillis;
  private long plannedAt;

  BatchOwner(
      long epoch,
      BatchPreferences preferences,
      JobRegistry book,
      BatchConfiguration configuration,
      List<ExecutorProfile> listed,
      BatchContext context) {
    this.preferences = preferences;
    this.writer = new StateWriter(epoch, context);
    Duration lease = preferences.executorLease();
    this.executors =
        new ExecutorDuty(
            epoch,
            lease.minus(LEASE_SLACK),
            lease,
            ISOLATION_LIMIT.plus(lease).plus(lease.dividedBy(10)),
            this,
            context);
    this.jobs = new JobLifecycle(book, writer, executors, configuration);
    this.submissions = new SubmissionDesk(jobs, writer, ready);
    this.cancels = new CancelDesk(jobs, submissions, ready);
    this.advice = new AdviceCache(EpochNumbers.before(epoch), context);
    this.plans = new PlanDuty(jobs, executors, advice, preferences.work());
    executors.setPools(jobs.pools());
    listed.forEach(profile -> executors.handleEntry(profile, context));
    executors.inherit(Takeover.inheritedRuns(book), context);
    jobs.retireGone(context);
  }

  /** Tells whether an executor or the store has shown that another VM owns now. */
  boolean fenced() {
    return fenced;
  }

  /** Takes a newer configuration. */
  void configure(BatchConfiguration newer) {
    jobs.configure(newer);
    executors.setPools(jobs.pools());
  }

  /**
   * Takes in an entry of the list of executors. They write theirs each second or two, mostly the
   * same; a plan for each of them takes more time than a weak VM has for a large fleet.
   */
  void seen(ExecutorProfile profile, BatchContext context) {
    if (executors.handleEntry(profile, context)) {
      jobs.changed();
    }
  }

  /** Takes in that an executor is no longer listed. */
  void unlisted(ExecutorId id) {
    executors.unlisted(id);
  }

  /** Takes what became of an order. */
  void orderEnded(ExecutorId id, long number, OrderOutcome outcome, BatchContext context) {
    if (executors.orderCompleted(id, number, outcome, context)) {
      jobs.changed();
    }
  }

  /** Takes what the advice service told. */
  void advised(long number, AdviceOutcome outcome, BatchContext context) {
    advice.answered(number, outcome, context);
    jobs.changed();
  }

  /** Takes what became of an append. */
  void appended(WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (!writer.appendCompleted(position, outcome, context)) {
      fenced = true;
    }
  }

  /** Accepts nothing more and starts nothing more. */
  void beginStop() {
    stopping = true;
  }

  /** Tells whether everything is stored. */
  boolean settled() {
    return writer.idle();
  }

  /**
   * Does what is due.
   *
   * @param contact what the heartbeats have shown of the store
   */
  void step(StoreReachability contact, BatchContext context) {
    long storeSeenAt = storeSeenAt(contact.confirmedAt());
    // The stream of the jobs may be away while that of ownership is not.
    long awaySince = Math.min(storeSeenAt, writer.failingSince().orElse(storeSeenAt));
    storeAgeMillis = Duration.ofNanos(context.nowNanos() - awaySince).toMillis();
    writer.recordOtherStreamAppend(contact.longestAppendNanos());
    writer.expire(context);
    cancels.step(context);
    unknownJobs.step(contact.confirmedAt(), jobs.book()::shown, context);
    if (context.nowNanos() - storeSeenAt < ISOLATION_LIMIT.toNanos()) {
      executors.step(context);
    }
    plans.startStored(context);
    boolean planNow = !context.more() || context.nowNanos() - plannedAt > PLAN_BEHIND_NANOS;
    if (!stopping && planNow && jobs.takeChanged()) {
      plannedAt = context.nowNanos();
      plans.step(context);
    }
    forgetEnded(context);
    writer.flush(context);
    ready.forEach(context::add);
    ready.clear();
  }

  /**
   * Returns when the store could last be reached: by a heartbeat, or by an append of the jobs.
   * After an outage a heartbeat may hang for a second while jobs are stored again.
   */
  private long storeSeenAt(long heartbeatAt) {
    long storedAt = writer.lastReachedAt().orElse(heartbeatAt);
    return storedAt - heartbeatAt > 0 ? storedAt : heartbeatAt;
  }

  /** Has the next step plan also if nothing changed, for steps that became due. */
  void timePassed(BatchContext context) {
    if (context.nowNanos() - plannedAt > PLAN_ANYWAY_NANOS) {
      jobs.changed();
    }
  }

  private void forgetEnded(BatchContext context) {
    Optional<String> forgotten =
        jobs.book()
            .forgetOneShownFor(
                preferences.statusRetention(), context.nowNanos(), context.wallMillis());
    forgotten.ifPresent(id -> writer.put(JobCodec.progressKey(id), Optional::empty, () -> {}));
    jobs.book()
        .forgetOneEarlyCancel(
            preferences.statusRetention(), context.nowNanos(), context.wallMillis())
        .ifPresent(id -> writer.put(JobCodec.earlyCancelKey(id), Optional::empty, () -> {}));
  }

  /** Ends the epoch: who still waits is told what is known. */
  void close(BatchContext context) {
    writer.close();
    cancels.close();
    unknownJobs.close(context);
    ready.forEach(context::add);
    ready.clear();
  }

  /**
   * Answers a call, at once or once it is stored.
   *
   * @param contact what the heartbeats have shown of the store
   */
  void called(BatchEvent.Called asked, StoreReachability contact, BatchContext context) {
    long ticket = asked.ticket();
    BatchCall call = asked.call();
    long until = context.nowNanos() + asked.patience().toNanos();
    // Before the key is looked at: a VM may repeat a submission whose key was taken away since.
    if (call instanceof BatchCall.Submit submit && submissions.joined(ticket, submit.job())) {
      return;
    }
    BatchConfiguration configuration = jobs.configuration();
    Optional<JobQueue> queue = configuration.queue(call.queue());
    if (queue.isEmpty()) {
      answer(ticket, new CallAnswer.NoSuchQueue());
      return;
    }
    Optional<BatchOrganisation> holder = configuration.holder(call.apiKey());
    if (!queue.get().open() && holder.isEmpty()) {
      answer(ticket, new CallAnswer.UnknownKey());
      return;
    }
    switch (call) {
      case BatchCall.Submit submit -> {
        Optional<RefusalCause> refusal = refusal(queue.get(), hopeless(asked, contact, context));
        if (refusal.isPresent()) {
          refuse(ticket, submit.job(), refusal.get(), context);
          return;
        }
        String organisation = holder.map(BatchOrganisation::name).orElse("");
        submissions.submit(ticket, submit, queue.get(), organisation, comeBackMillis(), context);
      }
      case BatchCall.Status status -> status(new JobQuestion(ticket, status.job(), until), context);
      case BatchCall.Cancel cancel ->
          cancels.cancel(new JobQuestion(ticket, cancel.job(), until), context);
      case BatchCall.CountPending count ->
          answer(ticket, new CallAnswer.Pending(jobs.book().pending(count.queue())));
    }
  }

  /** Tells whether a submission could not be stored while its caller waits. */
  private boolean hopeless(
      BatchEvent.Called asked, StoreReachability contact, BatchContext context) {
    long ageNanos = context.nowNanos() - storeSeenAt(contact.confirmedAt());
    boolean away =
        ageNanos > contact.maxHeartbeatAgeNanos(REACHABLE) || writer.storeUnavailable(context);
    long waitsNanos = Math.min(asked.patience().toNanos(), CALLER_NANOS);
    return away || writer.estimatedStoreNanos(contact.lastAppendNanos(), context) > waitsNanos;
  }

  private void answer(long ticket, CallAnswer answer) {
    ready.add(new BatchCommand.Answer(ticket, answer));
  }

  private Optional<RefusalCause> refusal(JobQueue queue, boolean hopeless) {
    if (stopping) {
      return Optional.of(RefusalCause.STOPPING);
    }
    if (queue.advised() && !preferences.adviceAvailable()) {
      return Optional.of(RefusalCause.UNSUPPORTED);
    }
    return hopeless ? Optional.of(RefusalCause.STORE_AWAY) : Optional.empty();
  }

  private void refuse(long ticket, String id, RefusalCause cause, BatchContext context) {
    context.note(BatchLogEvent.JOB_REFUSED, id, cause, comeBackMillis());
    context.count("fescuehook.batch.refused", "cause", cause.tag());
    answer(ticket, new CallAnswer.Refused(cause, comeBackMillis()));
  }

  /** Returns when to come back: an outage that has lasted a while will last about as long again. */
  private long comeBackMillis() {
    return Math.clamp(storeAgeMillis, COME_BACK_MILLIS, LATEST_COME_BACK_MILLIS);
  }

  private void status(JobQuestion question, BatchContext context) {
    Optional<JobPhase> phase = jobs.book().shown(question.job());
    if (phase.isPresent()) {
      answer(question.ticket(), new CallAnswer.Phase(phase.get()));
    } else {
      unknownJobs.ask(question, context);
    }
  }

  @Override
  public void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context) {
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
  public void startRejected(LiveRun run, Rejection rejection, BatchContext context) {
    if (rejection == Rejection.NO_TICKET) {
      advice.rejected(run.step(), run.incarnation());
    }
    jobs.rejected(run, rejection, context);
  }

  @Override
  public void startNotSent(LiveRun run, BatchContext context) {
    jobs.unsent(run, context);
  }

  @Override
  public void startGivenUp(LiveRun run, BatchContext context) {
    jobs.startGivenUp(run, context);
  }

  @Override
  public void foundRunning(LiveRun run, BatchContext context) {
    jobs.foundRunning(run, context);
  }

  @Override
  public void checkpointSaved(LiveRun run, String checkpoint) {
    jobs.saved(run, checkpoint);
  }

  @Override
  public void runStalled(LiveRun run, BatchContext context) {
    jobs.stoodStill(run, context);
  }

  @Override
  public void leaving(ExecutorState executor, BatchContext context) {
    jobs.leaving(executor, context);
  }

  @Override
  public void fenced(BatchContext context) {
    fenced = true;
  }
}
