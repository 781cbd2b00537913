package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.advice.AdviceDuty;
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
import org.fescuehook.logic.batch.ownership.StoreContact;
import org.fescuehook.logic.batch.plan.PlanDuty;
import org.fescuehook.logic.batch.state.JobBook;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobDuty;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.KeyHolder;
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
  private final JobDuty jobs;
  private final AdviceDuty advice;
  private final PlanDuty plans;
  private final SubmissionHandler submissions;
  private final UnknownJobHandler unknownJobs = new UnknownJobHandler();
  private final CancelHandler cancels;
  private final List<BatchCommand> ready = new ArrayList<>();

  private boolean fenced;
  private boolean stopping;
  private long storeAgeMillis;
  private long plannedAt;

  BatchOwner(
      long epoch,
      BatchPreferences preferences,
      JobBook book,
      BatchConfiguration configuration,
      List<ExecutorProfile> listed,
      BatchTurn turn) {
    this.preferences = preferences;
    this.writer = new StateWriter(epoch, turn);
    Duration lease = preferences.executorLease();
    this.executors =
        new ExecutorDuty(
            epoch,
            lease.minus(LEASE_SLACK),
            lease,
            ISOLATION_LIMIT.plus(lease).plus(lease.dividedBy(10)),
            this,
            turn);
    this.jobs = new JobDuty(book, writer, executors, configuration);
    this.submissions = new SubmissionHandler(jobs, writer, ready);
    this.cancels = new CancelHandler(jobs, submissions, ready);
    this.advice = new AdviceDuty(EpochNumbers.before(epoch), turn);
    this.plans = new PlanDuty(jobs, executors, advice, preferences.work());
    executors.serve(jobs.pools());
    listed.forEach(profile -> executors.seen(profile, turn));
    executors.inherit(Takeover.inheritedRuns(book), turn);
    jobs.retireGone(turn);
  }

  /** Tells whether an executor or the store has shown that another VM owns now. */
  boolean fenced() {
    return fenced;
  }

  /** Takes a newer configuration. */
  void configure(BatchConfiguration newer) {
    jobs.configure(newer);
    executors.serve(jobs.pools());
  }

  /**
   * Takes in an entry of the list of executors. They write theirs each second or two, mostly the
   * same; a plan for each of them takes more time than a weak VM has for a large fleet.
   */
  void seen(ExecutorProfile profile, BatchTurn turn) {
    if (executors.seen(profile, turn)) {
      jobs.changed();
    }
  }

  /** Takes in that an executor is no longer listed. */
  void unlisted(ExecutorId id) {
    executors.unlisted(id);
  }

  /** Takes what became of an order. */
  void orderEnded(ExecutorId id, long number, OrderOutcome outcome, BatchTurn turn) {
    if (executors.ended(id, number, outcome, turn)) {
      jobs.changed();
    }
  }

  /** Takes what the advice service told. */
  void advised(long number, AdviceOutcome outcome, BatchTurn turn) {
    advice.answered(number, outcome, turn);
    jobs.changed();
  }

  /** Takes what became of an append. */
  void appended(WriterPosition position, AppendOutcome outcome, BatchTurn turn) {
    if (!writer.answered(position, outcome, turn)) {
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
  void step(StoreContact contact, BatchTurn turn) {
    long storeSeenAt = storeSeenAt(contact.confirmedAt());
    // The stream of the jobs may be away while that of ownership is not.
    long awaySince = Math.min(storeSeenAt, writer.troubleSince().orElse(storeSeenAt));
    storeAgeMillis = Duration.ofNanos(turn.nowNanos() - awaySince).toMillis();
    writer.appendsToAnotherTake(contact.longestAppendNanos());
    writer.expire(turn);
    cancels.step(turn);
    unknownJobs.step(contact.confirmedAt(), jobs.book()::shown, turn);
    if (turn.nowNanos() - storeSeenAt < ISOLATION_LIMIT.toNanos()) {
      executors.step(turn);
    }
    plans.startStored(turn);
    boolean planNow = !turn.more() || turn.nowNanos() - plannedAt > PLAN_BEHIND_NANOS;
    if (!stopping && planNow && jobs.takeChanged()) {
      plannedAt = turn.nowNanos();
      plans.step(turn);
    }
    forgetEnded(turn);
    writer.flush(turn);
    ready.forEach(turn::add);
    ready.clear();
  }

  /**
   * Returns when the store could last be reached: by a heartbeat, or by an append of the jobs.
   * After an outage a heartbeat may hang for a second while jobs are stored again.
   */
  private long storeSeenAt(long heartbeatAt) {
    long storedAt = writer.storedAt().orElse(heartbeatAt);
    return storedAt - heartbeatAt > 0 ? storedAt : heartbeatAt;
  }

  /** Has the next step plan also if nothing changed, for steps that became due. */
  void timePassed(BatchTurn turn) {
    if (turn.nowNanos() - plannedAt > PLAN_ANYWAY_NANOS) {
      jobs.changed();
    }
  }

  private void forgetEnded(BatchTurn turn) {
    Optional<String> forgotten =
        jobs.book()
            .forgetOneShownFor(preferences.statusRetention(), turn.nowNanos(), turn.wallMillis());
    forgotten.ifPresent(id -> writer.put(JobCodec.progressKey(id), Optional::empty, () -> {}));
    jobs.book()
        .forgetOneEarlyCancel(preferences.statusRetention(), turn.nowNanos(), turn.wallMillis())
        .ifPresent(id -> writer.put(JobCodec.earlyCancelKey(id), Optional::empty, () -> {}));
  }

  /** Ends the epoch: who still waits is told what is known. */
  void close(BatchTurn turn) {
    writer.close();
    cancels.close();
    unknownJobs.close(turn);
    ready.forEach(turn::add);
    ready.clear();
  }

  /**
   * Answers a call, at once or once it is stored.
   *
   * @param contact what the heartbeats have shown of the store
   */
  void called(BatchEvent.Called asked, StoreContact contact, BatchTurn turn) {
    long ticket = asked.ticket();
    BatchCall call = asked.call();
    long until = turn.nowNanos() + asked.patience().toNanos();
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
    Optional<KeyHolder> holder = configuration.holder(call.apiKey());
    if (!queue.get().open() && holder.isEmpty()) {
      answer(ticket, new CallAnswer.UnknownKey());
      return;
    }
    switch (call) {
      case BatchCall.Submit submit -> {
        Optional<RefusalCause> refusal = refusal(queue.get(), hopeless(asked, contact, turn));
        if (refusal.isPresent()) {
          refuse(ticket, submit.job(), refusal.get(), turn);
          return;
        }
        String organisation = holder.map(KeyHolder::name).orElse("");
        submissions.submit(ticket, submit, queue.get(), organisation, comeBackMillis(), turn);
      }
      case BatchCall.Status status -> status(new JobQuery(ticket, status.job(), until), turn);
      case BatchCall.Cancel cancel ->
          cancels.cancel(new JobQuery(ticket, cancel.job(), until), turn);
      case BatchCall.CountPending count ->
          answer(ticket, new CallAnswer.Pending(jobs.book().pending(count.queue())));
    }
  }

  /** Tells whether a submission could not be stored while its caller waits. */
  private boolean hopeless(BatchEvent.Called asked, StoreContact contact, BatchTurn turn) {
    long ageNanos = turn.nowNanos() - storeSeenAt(contact.confirmedAt());
    boolean away = ageNanos > contact.nearNanos(REACHABLE) || writer.storeAway(turn);
    long waitsNanos = Math.min(asked.patience().toNanos(), CALLER_NANOS);
    return away || writer.storedInNanos(contact.lastAppendNanos(), turn) > waitsNanos;
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

  private void refuse(long ticket, String id, RefusalCause cause, BatchTurn turn) {
    turn.note(BatchLogEvent.JOB_REFUSED, id, cause, comeBackMillis());
    turn.count("fescuehook.batch.refused", "cause", cause.tag());
    answer(ticket, new CallAnswer.Refused(cause, comeBackMillis()));
  }

  /** Returns when to come back: an outage that has lasted a while will last about as long again. */
  private long comeBackMillis() {
    return Math.clamp(storeAgeMillis, COME_BACK_MILLIS, LATEST_COME_BACK_MILLIS);
  }

  private void status(JobQuery question, BatchTurn turn) {
    Optional<JobPhase> phase = jobs.book().shown(question.job());
    if (phase.isPresent()) {
      answer(question.ticket(), new CallAnswer.Phase(phase.get()));
    } else {
      unknownJobs.ask(question, turn);
    }
  }

  @Override
  public void ended(LiveRun run, EndedRun end, Countdown stored, BatchTurn turn) {
    jobs.ended(run, end, stored, turn);
  }

  @Override
  public void strayEnded(EndedRun end, Countdown stored, BatchTurn turn) {
    jobs.strayEnded(end, stored, turn);
  }

  @Override
  public void lost(LiveRun run, String cause, BatchTurn turn) {
    jobs.lost(run, turn);
  }

  @Override
  public void lostWithExecutor(LiveRun run, CrashEvidence evidence, BatchTurn turn) {
    jobs.lostWithExecutor(run, evidence, turn);
  }

  @Override
  public void rejected(LiveRun run, Rejection rejection, BatchTurn turn) {
    if (rejection == Rejection.NO_TICKET) {
      advice.rejected(run.step(), run.incarnation());
    }
    jobs.rejected(run, rejection, turn);
  }

  @Override
  public void unsent(LiveRun run, BatchTurn turn) {
    jobs.unsent(run, turn);
  }

  @Override
  public void startGivenUp(LiveRun run, BatchTurn turn) {
    jobs.startGivenUp(run, turn);
  }

  @Override
  public void foundRunning(LiveRun run, BatchTurn turn) {
    jobs.foundRunning(run, turn);
  }

  @Override
  public void saved(LiveRun run, String checkpoint) {
    jobs.saved(run, checkpoint);
  }

  @Override
  public void stoodStill(LiveRun run, BatchTurn turn) {
    jobs.stoodStill(run, turn);
  }

  @Override
  public void leaving(ExecutorState executor, BatchTurn turn) {
    jobs.leaving(executor, turn);
  }

  @Override
  public void fenced(BatchTurn turn) {
    fenced = true;
  }
}
