package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.batch.Submission;
import org.junit.jupiter.api.Test;

class RetryDelaysTest {

  private static final BatchCall STATUS = new BatchCall.Status("q", "key", "a1");

  private static BatchCall submission(int number) {
    Submission nothing = new Submission("", List.of(), Optional.empty());
    return new BatchCall.Submit("q", "key", "%016x".formatted(0xabc000L + number), nothing);
  }

  private static long millis(RetryDelays delays, RefusalCause cause, BatchCall call) {
    return ((CallAnswer.Refused) delays.refusal(cause, call)).retryAfterMillis();
  }

  /** Guards against callers whose four retries, a second apart, end before a takeover does. */
  @Test
  void retriesWithoutAnOwnerSpanAnOutageAndAreSpreadOverFourSeconds() {
    Map<Long, Integer> counts = new TreeMap<>();
    for (int i = 0; i < 1000; i++) {
      long delay = millis(new RetryDelays(true), RefusalCause.NO_OWNER, submission(i));
      counts.merge(delay, 1, Integer::sum);
    }
    assertEquals(List.of(3000L, 4000L, 5000L, 6000L), List.copyOf(counts.keySet()));
    counts.values().forEach(count -> assertTrue(count < 300, counts::toString));
  }

  /** Guards against a caller whose every try gets the longest delay. */
  @Test
  void theDelayOfAJobVariesFromTryToTry() {
    RetryDelays delays = new RetryDelays(true);
    Set<Long> tries = new TreeSet<>();
    for (int i = 0; i < 4; i++) {
      tries.add(millis(delays, RefusalCause.NO_OWNER, submission(7)));
    }
    assertEquals(Set.of(3000L, 4000L, 5000L, 6000L), tries);
  }

  /** Guards against callers without tries when a VM can read its configuration again. */
  @Test
  void retriesWithoutAConfigurationSpanAnOutage() {
    RetryDelays delays = new RetryDelays(true);
    assertTrue(millis(delays, RefusalCause.STALE_CONFIGURATION, submission(7)) >= 3000);
    assertTrue(millis(delays, RefusalCause.NO_CONFIGURATION, submission(7)) >= 3000);
  }

  @Test
  void aCallThatAnotherVmMayTakeAtOnceIsRetriedSooner() {
    long delay = millis(new RetryDelays(true), RefusalCause.OVERLOADED, submission(1));
    assertTrue(delay >= 1000 && delay <= 4000, () -> "delay " + delay);
  }

  @Test
  void otherCallsAndAllCallsWithoutSpreadAreRetriedAfterASecond() {
    assertEquals(1000, millis(new RetryDelays(true), RefusalCause.NO_OWNER, STATUS));
    assertEquals(1000, millis(new RetryDelays(false), RefusalCause.NO_OWNER, submission(1)));
  }
}
