package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobPhase;

/**
 * Asks a {@link BatchCluster} for the state of each accepted job throughout a history, and checks
 * that no answer denies the job or shows an end that neither a cancel nor its tasks have caused.
 */
final class JobStateChecks {

  private static final long INTERVAL_MILLIS = 350;

  /** From this time after its acceptance a job has to be known. */
  private static final long VISIBLE_MILLIS = 3000;

  private final BatchCluster cluster;
  private final BatchConfiguration configuration;
  private final Map<String, Long> acceptedAt = new HashMap<>();
  private final Map<Long, Question> questions = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private int judged;

  private record Question(String job, long askedAt, boolean due) {}

  JobStateChecks(BatchCluster cluster) {
    this.cluster = cluster;
    this.configuration = TestFixtures.configuration();
  }

  /** Asks and checks from now on until a time. */
  void checkUntil(long endMillis) {
    if (cluster.nowMillis() > endMillis) {
      return;
    }
    questions.entrySet().removeIf(asked -> checkAnswer(asked.getKey(), asked.getValue()));
    // Copied, since a question may have the owner answer a submission.
    for (Map.Entry<String, CallAnswer> submission : List.copyOf(cluster.submissions.entrySet())) {
      if (submission.getValue() instanceof CallAnswer.Accepted) {
        ask(submission.getKey());
      }
    }
    cluster.in(INTERVAL_MILLIS, () -> checkUntil(endMillis));
  }

  /** Returns a description of each wrong answer. */
  List<String> breaches() {
    return breaches;
  }

  /** Returns how many answers were checked. */
  int judged() {
    return judged;
  }

  private void ask(String job) {
    long now = cluster.nowMillis();
    // The acceptance may have come since the last question, so this moment is no earlier.
    boolean due = now > acceptedAt.computeIfAbsent(job, id -> now) + VISIBLE_MILLIS;
    cluster
        .call(cluster.calls.statusCall(job, BatchCluster.KEY))
        .ifPresent(number -> questions.put(number, new Question(job, now, due)));
  }

  private boolean checkAnswer(long ticket, Question question) {
    CallAnswer answer = cluster.answers.get(ticket);
    if (answer == null) {
      return false;
    }
    judged++;
    String job = question.job();
    boolean cancelled = cluster.cancelSent(job);
    boolean wrong =
        switch (answer) {
          case CallAnswer.NoSuchJob none -> question.due() && !cancelled;
          case CallAnswer.Phase(JobPhase phase) ->
              (phase == JobPhase.FAILED && !mayHaveFailed(job))
                  || (phase == JobPhase.CANCELLED && !cancelled);
          default -> false;
        };
    if (wrong) {
      breaches.add(
          "job %s, accepted by %d, asked at %d: %s"
              .formatted(job, acceptedAt.get(job), question.askedAt(), answer));
    }
    return true;
  }

  /** Returns whether one of the tasks has failed as often as its queue allows. */
  private boolean mayHaveFailed(String job) {
    int allowed = configuration.queues().get(cluster.work.placement.queue(job)).maxAttempts();
    return cluster.work.starts().stream()
        .filter(run -> run.task().job().equals(job))
        .anyMatch(run -> cluster.work.failures(run.task()) >= allowed);
  }
}
