package org.fescuehook.bench.soak.judge;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A call of a caller about a job, and what became of it.
 *
 * @param vm number of the VM that was called
 * @param sentMillis monotonic time of its sending
 * @param endedMillis time of the answer, or of the end of the connection
 */
public record JobCall(
    Kind kind, String job, int vm, long sentMillis, long endedMillis, Result result) {

  private static final Set<String> FINAL_STATES = Set.of("completed", "failed", "cancelled");

  private static final int GONE = 410;

  /** What is asked for. */
  public enum Kind {
    /** Hands the job in. */
    SUBMIT,
    /** Asks for its state. */
    STATUS,
    /** Cancels it. */
    CANCEL
  }

  /** What the caller saw. */
  public sealed interface Result {
    /** A whole answer; the state is empty where the answer has none. */
    record Answered(int status, String state) implements Result {}

    /** The connection ended before the whole answer. */
    record Broken(String detail) implements Result {}

    /** The caller's time was over. */
    record TimedOut() implements Result {}

    /** There was no connection to send on. */
    record NotSent() implements Result {}
  }

  /** Returns the status of the answer, 0 without one. */
  public int status() {
    return result instanceof Result.Answered answered ? answered.status() : 0;
  }

  /** Tells whether the answer is a success. */
  public boolean succeeded() {
    return status() / 100 == 2;
  }

  /** Returns when a job was first accepted, by the calls about it; empty if it was not. */
  static OptionalLong acceptedAt(List<JobCall> calls) {
    return calls.stream()
        .filter(call -> call.kind() == Kind.SUBMIT && call.succeeded())
        .mapToLong(JobCall::endedMillis)
        .min();
  }

  /** Tells whether the VM said, or the lack of a connection shows, that nothing was accepted. */
  public boolean refused() {
    return status() == 429 || status() == 503 || result instanceof Result.NotSent;
  }

  /** Returns the state that the answer shows, or the empty text. */
  public String state() {
    return result instanceof Result.Answered answered ? answered.state() : "";
  }

  /** Tells whether it acknowledges a cancelling; a job that is unknown cannot run any more. */
  public boolean acknowledgesCancel() {
    return kind == Kind.CANCEL && (succeeded() || status() == GONE);
  }

  /** Tells whether the answer shows that the job is over. */
  public boolean showsEnd() {
    return kind == Kind.STATUS && FINAL_STATES.contains(state());
  }
}
