package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;

/**
 * Callers of several organisations who choose the same ids for jobs in several queues, and who
 * submit, repeat, cancel and ask at random. Each answer is judged by what that caller has handed
 * in, and by what has run.
 */
final class SharedIdCallers {

  private static final int IDS = 8;
  private static final long LAST_SUBMISSION_MILLIS = 22_000;
  private static final long ASK_MILLIS = 400;
  private static final long RETRY_MILLIS = 700;
  private static final int TRIES = 6;

  private static final List<String> QUEUES =
      List.of(BatchCluster.URGENT, BatchCluster.NORMAL, BatchCluster.BULK);

  private final BatchCluster cluster;
  private final List<Caller> callers = new ArrayList<>();
  private final Map<Long, Asked> questions = new HashMap<>();
  private final Set<String> breaches = new LinkedHashSet<>();
  private int judged;

  /** What one caller has handed in and was told. */
  private static final class Caller {
    private final String queue;
    private final String key;
    private final String id;
    private final Submission submission;
    private boolean accepted;

    /** Number of submissions that may have been stored, as no answer says that they were not. */
    private int undecided;

    private boolean cancelSent;

    private Caller(String queue, String key, String id, Submission submission) {
      this.queue = queue;
      this.key = key;
      this.id = id;
      this.submission = submission;
    }

    private boolean mayHaveJob() {
      return accepted || undecided > 0;
    }

    @Override
    public String toString() {
      return queue + "/" + id + " with " + key;
    }
  }

  private record Asked(Caller caller, BatchCall call, boolean acceptedBefore) {}

  /** Draws callers; each id is used by two of them, from another queue or organisation. */
  SharedIdCallers(BatchCluster cluster) {
    this.cluster = cluster;
    for (int i = 0; i < IDS; i++) {
      String id = "%016x".formatted(0xd000L + i);
      String queue = QUEUES.get(cluster.random.nextInt(QUEUES.size()));
      String otherQueue = QUEUES.get(cluster.random.nextInt(QUEUES.size()));
      boolean sameOrganisation = !otherQueue.equals(queue) && cluster.random.nextBoolean();
      callers.add(new Caller(queue, TestFixtures.keyOf(0), id, draw(1 + i % 2)));
      callers.add(
          new Caller(
              otherQueue, TestFixtures.keyOf(sameOrganisation ? 0 : 1), id, draw(4 + i % 2)));
    }
  }

  private Submission draw(int tasks) {
    return Jobs.of(Jobs.tasks(tasks, 1, 500L + cluster.random.nextInt(6000)));
  }

  /** Schedules all calls until a time. */
  void schedule(long endMillis) {
    for (Caller caller : callers) {
      long at = 1500L + cluster.random.nextInt((int) LAST_SUBMISSION_MILLIS);
      // Half of the callers submit at about the same time as the other one of their id.
      boolean together = cluster.random.nextBoolean();
      long submitAt = together ? 3000L + 1500L * callers.indexOf(caller) / 2 : at;
      cluster.in(submitAt, () -> submit(caller, TRIES));
      if (cluster.random.nextInt(3) == 0) {
        long cancelAt = Math.max(1500, submitAt - 1000L + cluster.random.nextInt(5000));
        cluster.in(cancelAt, () -> cancel(caller));
      }
      cluster.in(1500L + cluster.random.nextInt((int) ASK_MILLIS), () -> ask(caller, endMillis));
    }
    judgeUntil(endMillis);
  }

  private void submit(Caller caller, int triesLeft) {
    send(caller, new BatchCall.Submit(caller.queue, caller.key, caller.id, caller.submission));
    if (triesLeft > 1) {
      cluster.in(
          RETRY_MILLIS,
          () -> {
            if (!caller.accepted || cluster.random.nextInt(4) == 0) {
              submit(caller, triesLeft - 1);
            }
          });
    }
  }

  private void cancel(Caller caller) {
    caller.cancelSent = true;
    send(caller, new BatchCall.Cancel(caller.queue, caller.key, caller.id));
  }

  private void ask(Caller caller, long endMillis) {
    if (cluster.nowMillis() > endMillis) {
      return;
    }
    send(caller, new BatchCall.Status(caller.queue, caller.key, caller.id));
    cluster.in(ASK_MILLIS, () -> ask(caller, endMillis));
  }

  private void send(Caller caller, BatchCall call) {
    boolean acceptedBefore = caller.accepted;
    Optional<Long> ticket = cluster.call(call);
    ticket.ifPresent(number -> questions.put(number, new Asked(caller, call, acceptedBefore)));
    if (ticket.isPresent() && call instanceof BatchCall.Submit) {
      caller.undecided++;
    }
  }

  private void judgeUntil(long endMillis) {
    judgeAnswers();
    if (cluster.nowMillis() <= endMillis) {
      cluster.in(BatchCluster.TICK_MILLIS, () -> judgeUntil(endMillis));
    }
  }

  private void judgeAnswers() {
    questions
        .entrySet()
        .removeIf(
            asked ->
                Optional.ofNullable(cluster.answers.get(asked.getKey()))
                    .map(answer -> judge(asked.getValue(), answer))
                    .isPresent());
  }

  private boolean judge(Asked asked, CallAnswer answer) {
    judged++;
    Caller caller = asked.caller();
    switch (answer) {
      case CallAnswer.Accepted _ -> {
        caller.accepted = true;
        check(others(caller).noneMatch(other -> other.accepted), caller, "accepted beside another");
      }
      case CallAnswer.Refused _ -> {
        if (asked.call() instanceof BatchCall.Submit) {
          caller.undecided--;
        }
      }
      case CallAnswer.Phase(JobPhase phase) -> judgePhase(caller, phase);
      case CallAnswer.Cancelled _ ->
          check(caller.mayHaveJob(), caller, "told that a job is cancelled that it does not have");
      case CallAnswer.NoSuchJob _ ->
          check(!asked.acceptedBefore() || caller.cancelSent, caller, "denied its accepted job");
      default -> {}
    }
    return true;
  }

  private void judgePhase(Caller caller, JobPhase phase) {
    check(caller.mayHaveJob(), caller, "shown a job that it does not have: " + phase);
    check(phase != JobPhase.CANCELLED || caller.cancelSent, caller, "shown as cancelled");
    check(phase != JobPhase.FAILED, caller, "shown as failed");
    check(phase != JobPhase.COMPLETED || allDone(caller), caller, "shown as completed too early");
  }

  private boolean allDone(Caller caller) {
    int tasks = caller.submission.steps().getFirst().count();
    for (int i = 0; i < tasks; i++) {
      if (!cluster.work.done(new TaskName(caller.id, 0, 0, i))) {
        return false;
      }
    }
    return true;
  }

  private Stream<Caller> others(Caller caller) {
    return callers.stream().filter(other -> other != caller && other.id.equals(caller.id));
  }

  private void check(boolean holds, Caller caller, String breach) {
    if (!holds) {
      breaches.add(caller + " " + breach);
    }
  }

  /** Checks at the end of a history that each accepted job has ended, and that no other has run. */
  void checkEnds() {
    judgeAnswers();
    for (Caller caller : callers) {
      if (!caller.accepted) {
        continue;
      }
      Optional<Long> asked =
          cluster.call(new BatchCall.Status(caller.queue, caller.key, caller.id));
      cluster.run(1000);
      CallAnswer answer = cluster.answers.get(asked.orElseThrow());
      boolean completed = new CallAnswer.Phase(JobPhase.COMPLETED).equals(answer);
      boolean cancelled = new CallAnswer.Phase(JobPhase.CANCELLED).equals(answer);
      check(completed || (caller.cancelSent && cancelled), caller, "ends as " + answer);
      int tasks = caller.submission.steps().getFirst().count();
      long beyond =
          cluster.work.starts().stream()
              .filter(run -> run.task().job().equals(caller.id) && run.task().index() >= tasks)
              .count();
      check(beyond == 0, caller, "has runs of another caller's tasks");
    }
  }

  /** Returns a description of each broken promise. */
  List<String> breaches() {
    return List.copyOf(breaches);
  }

  /** Returns how many answers were judged. */
  int judged() {
    return judged;
  }

  /** Returns how many of the drawn callers had a job accepted. */
  long acceptedCallers() {
    return callers.stream().filter(caller -> caller.accepted).count();
  }
}
