package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;

/** A fake advice service, which also tells executors whether a ticket is valid. */
final class FakeAdvice {

  static final long VALID_MILLIS = 2000;

  private final Map<String, Long> tickets = new HashMap<>();
  private final List<BatchCommand.AskAdvice> questions = new ArrayList<>();
  private Optional<Set<ExecutorId>> allowed = Optional.empty();
  private boolean unavailable;

  /** Restricts steps of queues that need advice to these executors from now on. */
  void allowOnly(Set<ExecutorId> executors) {
    allowed = Optional.of(executors);
  }

  void setUnavailable(boolean isUnavailable) {
    unavailable = isUnavailable;
  }

  List<BatchCommand.AskAdvice> questions() {
    return questions;
  }

  BatchEvent ended(BatchCommand.AskAdvice question, long nowMillis) {
    return new BatchEvent.AdviceEnded(question.number(), answer(question, nowMillis));
  }

  private AdviceOutcome answer(BatchCommand.AskAdvice question, long nowMillis) {
    questions.add(question);
    if (unavailable) {
      return new AdviceOutcome.Unavailable("away");
    }
    Map<ExecutorId, String> given = new HashMap<>();
    for (ExecutorId executor : question.executors()) {
      if (allowed.filter(executors -> !executors.contains(executor)).isEmpty()) {
        String ticket = question.step() + "@" + executor.value() + "@" + nowMillis;
        tickets.put(ticket, nowMillis + VALID_MILLIS);
        given.put(executor, ticket);
      }
    }
    return new AdviceOutcome.Given(given, VALID_MILLIS);
  }

  /**
   * Returns whether an executor accepts a start with this ticket; it accepts any start while no
   * restriction was set.
   */
  boolean valid(TaskName task, ExecutorId executor, Optional<String> ticket, long nowMillis) {
    if (allowed.isEmpty()) {
      return true;
    }
    String begin = task.job() + "." + task.occurrence() + "." + task.step() + "@";
    return ticket
        .filter(text -> text.startsWith(begin + executor.value() + "@"))
        .filter(text -> tickets.getOrDefault(text, 0L) > nowMillis)
        .isPresent();
  }
}
