package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;

/**
 * A fake advice service, which also tells executors whether a ticket is valid. It handles the calls
 * of each VM one after another, also those that the VM no longer waits for.
 */
final class FakeAdvice {

  /** Longest that a caller waits for an answer. */
  static final long CALLER_LIMIT_MILLIS = 5000;

  private static final int MAX_WAITING = 32;

  private final Map<VmId, Long> busyUntil = new HashMap<>();
  private final List<Long> ends = new ArrayList<>();
  private final Map<String, Long> tickets = new HashMap<>();
  private final List<BatchCommand.AskAdvice> questions = new ArrayList<>();
  private Optional<Set<ExecutorId>> allowed = Optional.empty();
  private boolean unavailable;
  private Timing timing = new Timing(60, 0, 2000);
  private Random random = new Random(0);
  private double refused;
  private double lost;

  /**
   * How long calls take.
   *
   * @param decisionMillis duration of a call
   * @param periodMillis additional duration for each executor named
   * @param validMillis how long tickets are valid from the answer on
   */
  record Timing(long decisionMillis, long periodMillis, long validMillis) {}

  /**
   * The end of a call as its caller sees it.
   *
   * @param atMillis when it ends
   * @param answeredMillis when the service answered it; empty if the caller gets no answer
   * @param failure why the caller gets no answer
   */
  record CallEnd(long atMillis, OptionalLong answeredMillis, String failure) {}

  /** Restricts steps of queues that need advice to these executors from now on. */
  void allowOnly(Set<ExecutorId> executors) {
    allowed = Optional.of(executors);
  }

  void setUnavailable(boolean isUnavailable) {
    unavailable = isUnavailable;
  }

  void setTiming(Timing newTiming) {
    timing = newTiming;
  }

  /**
   * Lets calls fail from now on.
   *
   * @param refusedRate probability that a call is refused at once
   * @param lostRate probability that the answer to a call is lost
   */
  void setFailures(Random source, double refusedRate, double lostRate) {
    random = source;
    refused = refusedRate;
    lost = lostRate;
  }

  /** Returns when and how a call ends that arrives now. */
  CallEnd call(VmId caller, int executors, long nowMillis) {
    ends.removeIf(end -> end <= nowMillis);
    if (ends.size() > MAX_WAITING || (refused > 0 && random.nextDouble() < refused)) {
      return new CallEnd(nowMillis + 1, OptionalLong.empty(), "status 429");
    }
    long begin = Math.max(nowMillis, busyUntil.getOrDefault(caller, 0L));
    long end = begin + timing.decisionMillis() + timing.periodMillis() * executors;
    busyUntil.put(caller, end);
    ends.add(end);
    boolean unanswered = lost > 0 && random.nextDouble() < lost;
    return unanswered || end - nowMillis > CALLER_LIMIT_MILLIS
        ? new CallEnd(nowMillis + CALLER_LIMIT_MILLIS, OptionalLong.empty(), "timeout")
        : new CallEnd(end, OptionalLong.of(end), "");
  }

  List<BatchCommand.AskAdvice> questions() {
    return questions;
  }

  BatchEvent ended(BatchCommand.AskAdvice question, CallEnd end) {
    return new BatchEvent.AdviceEnded(
        question.number(),
        end.answeredMillis().isEmpty()
            ? new AdviceOutcome.Unavailable(end.failure())
            : answer(question, end.answeredMillis().getAsLong()));
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
        tickets.put(ticket, nowMillis + timing.validMillis());
        given.put(executor, ticket);
      }
    }
    return new AdviceOutcome.Given(given, timing.validMillis());
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
