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
  void aVmThatReadsTheLogToItsEndIsReady() {
    assertEquals(Optional.empty(), judge(facts(true, secondsAgo(1), NEVER, NEVER)));
  }

  @Test
  void aVmWithoutConfigurationIsNotReady() {
    Inputs facts = new Inputs(false, true, true, secondsAgo(0), secondsAgo(0), NEVER);

    assertEquals(Optional.of(NotReady.NO_CONFIGURATION), judge(facts));
  }

  @Test
  void aVmWithoutAShareOfTheExecutorsSlotsIsNotReady() {
    Inputs facts = new Inputs(true, false, true, secondsAgo(0), secondsAgo(0), NEVER);

    assertEquals(Optional.of(NotReady.NO_SLOTS), judge(facts));
  }

  @Test
  void aVmThatStillReadsOldRecordsIsNotReady() {
    assertEquals(
        Optional.of(NotReady.CATCHING_UP), judge(facts(false, secondsAgo(1), NEVER, NEVER)));
  }

  @Test
  void aVmThatHearsNeitherLogNorPeerIsReadyUntilItsKnowledgeIsStale() {
    assertEquals(Optional.empty(), judge(facts(true, secondsAgo(10), secondsAgo(60), NEVER)));
    assertEquals(
        Optional.of(NotReady.ISOLATED), judge(facts(true, secondsAgo(11), secondsAgo(60), NEVER)));
  }

  @Test
  void aVmCutFromTheLogStaysReadyAsLongAsItHearsAPeer() {
    assertEquals(Optional.empty(), judge(facts(true, secondsAgo(3600), secondsAgo(1), NEVER)));
  }

  @Test
  void aVmStartedInAnOutageOfTheLogIsReadyWithAConfigurationOfAPeer() {
    assertEquals(Optional.empty(), judge(facts(false, NEVER, secondsAgo(1), NEVER)));
  }

  @Test
  void aVmThatCannotGetANewerConfigurationOfAPeerIsNotReady() {
    assertEquals(
        Optional.empty(), judge(facts(true, secondsAgo(60), secondsAgo(1), secondsAgo(9))));
    assertEquals(
        Optional.of(NotReady.BEHIND),
        judge(facts(true, secondsAgo(60), secondsAgo(1), secondsAgo(11))));
  }

  private Optional<NotReady> judge(Inputs facts) {
    return readiness.judge(facts, NOW);
  }

  private static Inputs facts(
      boolean caughtUp, OptionalLong logContact, OptionalLong peerContact, OptionalLong behind) {
    return new Inputs(true, true, caughtUp, logContact, peerContact, behind);
  }

  private static OptionalLong secondsAgo(long seconds) {
    return OptionalLong.of(NOW - Duration.ofSeconds(seconds).toNanos());
  }
}
