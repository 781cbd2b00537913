package org.fescuehook.bench.proof;

import java.util.List;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.caller.CallerOutcome;

/**
 * A request of a caller, with all attempts at it.
 *
 * @param path its path, which no other request has
 * @param repeatable whether it may run more than once
 * @param attempts at least one, in order
 */
record TriedRequest(String path, boolean repeatable, List<Sent> attempts) {

  /** Tells whether no attempt got a whole answer of its own. */
  boolean lost() {
    return attempts.stream().noneMatch(TriedRequest::toldSomething);
  }

  /** Tells whether each attempt was refused as not run. */
  boolean refused() {
    return attempts.stream().allMatch(Sent::notRun);
  }

  /** Tells whether an attempt was given the answer to another request. */
  boolean foreign() {
    return attempts.stream().anyMatch(Sent::foreign);
  }

  /** Tells whether an attempt got the executor's answer. */
  boolean whole() {
    return attempts.stream().anyMatch(Sent::whole);
  }

  private static boolean toldSomething(Sent sent) {
    return sent.notRun() || (sent.outcome() instanceof CallerOutcome.Answered && !sent.foreign());
  }
}
