package org.fescuehook.logic.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.membership.Readiness.Inputs;
import org.fescuehook.logic.membership.Readiness.NotReady;
import org.junit.jupiter.api.Test;

class ReadinessTest {

  private static final OptionalLong NEVER = OptionalLong.empty();
  private static final long NOW = Duration.ofHours(1).toNanos();

  private final Readiness readiness = new Readiness(Duration.ofSeconds(10));

  @Test
  void aVmThatHasReadTheLogToItsEndIsReady() {
    assertEquals(Optional.empty(), evaluate(inputs(true, secondsAgo(1), NEVER, NEVER)));
  }

  @Test
  void aVmWithoutConfigurationIsNotReady() {
    Inputs inputs = new Inputs(false, true, true, secondsAgo(0), secondsAgo(0), NEVER);

    assertEquals(Optional.of(NotReady.NO_CONFIGURATION), evaluate(inputs));
  }

  @Test
  void aVmWithoutAShareOfTheExecutorsSlotsIsNotReady() {
    Inputs inputs = new Inputs(true, false, true, secondsAgo(0), secondsAgo(0), NEVER);

    assertEquals(Optional.of(NotReady.NO_SLOTS), evaluate(inputs));
  }

  @Test
  void aVmThatIsStillCatchingUpWithTheLogIsNotReady() {
    assertEquals(
        Optional.of(NotReady.CATCHING_UP), evaluate(inputs(false, secondsAgo(1), NEVER, NEVER)));
  }

  @Test
  void aVmWithoutContactToLogAndPeersIsReadyUntilItsStateIsStale() {
    assertEquals(Optional.empty(), evaluate(inputs(true, secondsAgo(10), secondsAgo(60), NEVER)));
    assertEquals(
        Optional.of(NotReady.ISOLATED),
        evaluate(inputs(true, secondsAgo(11), secondsAgo(60), NEVER)));
  }

  @Test
  void aVmThatCannotReachTheLogStaysReadyWhileAPeerSendsHeartbeats() {
    assertEquals(Optional.empty(), evaluate(inputs(true, secondsAgo(3600), secondsAgo(1), NEVER)));
  }

  @Test
  void aVmStartedDuringAnOutageOfTheLogIsReadyWithTheConfigurationOfAPeer() {
    assertEquals(Optional.empty(), evaluate(inputs(false, NEVER, secondsAgo(1), NEVER)));
  }

  @Test
  void aVmThatStaysBehindThePeersConfigurationIsNotReady() {
    assertEquals(
        Optional.empty(), evaluate(inputs(true, secondsAgo(60), secondsAgo(1), secondsAgo(9))));
    assertEquals(
        Optional.of(NotReady.BEHIND),
        evaluate(inputs(true, secondsAgo(60), secondsAgo(1), secondsAgo(11))));
  }

  private Optional<NotReady> evaluate(Inputs inputs) {
    return readiness.evaluate(inputs, NOW);
  }

  private static Inputs inputs(
      boolean caughtUp, OptionalLong logContact, OptionalLong peerContact, OptionalLong behind) {
    return new Inputs(true, true, caughtUp, logContact, peerContact, behind);
  }

  private static OptionalLong secondsAgo(long seconds) {
    return OptionalLong.of(NOW - Duration.ofSeconds(seconds).toNanos());
  }
}
