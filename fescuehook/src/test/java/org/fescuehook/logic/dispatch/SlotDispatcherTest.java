package org.fescuehook.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.request.ExecutionStatus;
import org.fescuehook.model.request.RefusalReason;
import org.junit.jupiter.api.Test;

class SlotDispatcherTest {
  private static final DispatchResult NOT_RUN = new DispatchResult.RefusedNotRun();
  private static final DispatchResult UNREACHABLE =
      new DispatchResult.NotSent(DispatchResult.NotSentCause.CONNECT_FAILED);

  @Test
  void dispatchesANonRepeatableRequestOnceWhenItsConnectionIsLost() {
    DispatchFixture fixture = DispatchFixture.ready(3, 4);
    fixture.arrive(1, fixture.attributes("a", false, false));
    fixture.endDispatch(1, DispatchFixture.connectionLost());
    fixture.advanceTime(9_000);

    assertEquals(1, fixture.executorsOf(1).size());
    assertEquals(Optional.of(RefusalReason.CONNECTION_LOST), fixture.refusalOf(1));
  }

  @Test
  void retriesANonRepeatableRequestElsewhereWhenItCertainlyDidNotRun() {
    for (DispatchResult end : List.of(NOT_RUN, UNREACHABLE)) {
      DispatchFixture fixture = DispatchFixture.ready(3, 4);
      fixture.arrive(1, fixture.attributes("a", false, false));
      fixture.endDispatch(1, end);
      fixture.advanceTime(1_000);

      List<String> executors = fixture.executorsOf(1);
      assertEquals(2, executors.size());
      assertNotEquals(executors.get(0), executors.get(1));
    }
  }

  @Test
  void neverReportsNotRunAfterADispatchThatMayHaveRun() {
    DispatchFixture fixture = DispatchFixture.ready(3, 4);
    fixture.arrive(1, fixture.attributes("a", false, true));
    fixture.endDispatch(1, DispatchFixture.connectionLost());
    fixture.advanceTime(1_000);
    fixture.endDispatch(1, NOT_RUN);
    fixture.advanceTime(1_000);
    fixture.endDispatch(1, NOT_RUN);

    assertEquals(3, fixture.executorsOf(1).size());
    assertEquals(ExecutionStatus.UNKNOWN, fixture.refusalOf(1).orElseThrow().executionStatus());
  }

  @Test
  void limitsRetriesToTheBudgetsShareOfRequests() {
    DispatchFixture fixture = DispatchFixture.ready(3, 8);
    for (int i = 1; i <= 1_000; i++) {
      fixture.arrive(i, fixture.attributes("a", false, true));
      fixture.endDispatch(i, DispatchFixture.connectionLost());
      fixture.advanceTime(5);
      if (fixture.refusalOf(i).isEmpty()) {
        fixture.advanceTime(20);
        fixture.answer(i);
      }
    }
    // All of this happened within the ten seconds of the budget's window.
    assertTrue(fixture.now - 1_000_000 < 10_000);
    assertEquals(
        100 + RetryBudget.MIN_RETRIES, fixture.all(DispatchCommand.CountRetry.class).size());
    assertTrue(fixture.count("fescuehook.requests.retries.over.budget") > 0);
  }

  @Test
  void dispatchesNoRequestsToALeavingExecutor() {
    DispatchFixture fixture = DispatchFixture.ready(2, 4);
    fixture.setLeaving("e0");
    for (int i = 1; i <= 4; i++) {
      fixture.arrive(i, fixture.attributes("a", true, false));
    }
    assertEquals(4, fixture.sentTickets().size());
    fixture
        .all(DispatchCommand.Send.class)
        .forEach(send -> assertEquals("e1", send.executor().value()));
  }

  @Test
  void lowersAShareAtOnceAndRaisesItAfterTheDelay() {
    DispatchFixture fixture = DispatchFixture.ready(1, 4);
    fixture.handle(new DispatchEvent.Shared(fixture.shares(1, 1, 3_000)));
    fixture.arrive(1, fixture.attributes("a", true, false));
    fixture.arrive(2, fixture.attributes("a", true, false));
    assertEquals(List.of(1L), fixture.sentTickets());

    fixture.handle(new DispatchEvent.Shared(fixture.shares(1, 4, 3_000)));
    fixture.advanceTime(2_995);
    assertEquals(List.of(1L), fixture.sentTickets());
    fixture.advanceTime(10);
    assertEquals(List.of(1L, 2L), fixture.sentTickets());
  }

  @Test
  void reservesSlotsForUrgentRequestsUnderOverload() {
    DispatchFixture fixture = DispatchFixture.ready(2, 4);
    for (int i = 1; i <= 20; i++) {
      fixture.arrive(i, fixture.attributes("a", false, false));
    }
    assertEquals(7, fixture.sentTickets().size());
    fixture.arrive(100, fixture.attributes("b", true, false));
    assertEquals(100L, fixture.sentTickets().getLast());
  }

  @Test
  void dispatchesWaitingUrgentRequestsFirst() {
    DispatchFixture fixture = DispatchFixture.ready(1, 1);
    fixture.arrive(1, fixture.attributes("a", false, false));
    fixture.arrive(2, fixture.attributes("a", false, false));
    fixture.arrive(3, fixture.attributes("a", true, false));
    fixture.answer(1);
    assertEquals(List.of(1L, 3L), fixture.sentTickets());
  }

  @Test
  void sharesSlotsBetweenOrganisationsByWeight() {
    FairQueue queue = new FairQueue(1_000);
    queue.setWeights(Map.of(new OrganisationId("a"), 3.0, new OrganisationId("b"), 1.0));
    for (int i = 0; i < 400; i++) {
      queue.add(new OrganisationId("a"), i);
      queue.add(new OrganisationId("b"), 1_000 + i);
    }
    int fromA = 0;
    for (int i = 0; i < 200; i++) {
      fromA += queue.poll(ticket -> true).getAsLong() < 1_000 ? 1 : 0;
    }
    assertEquals(150, fromA);
  }

  @Test
  void rejectsRequestsBeyondTheOrganisationsShare() {
    DispatchFixture fixture = DispatchFixture.ready(2, 4);
    for (int i = 1; i <= 41; i++) {
      fixture.arrive(i, fixture.attributes("a", false, false));
    }
    fixture.arrive(42, fixture.attributes("b", false, false));
    assertEquals(Optional.of(RefusalReason.ORGANISATION_SHARE), fixture.refusalOf(41));
    assertEquals(Optional.empty(), fixture.refusalOf(42));
  }

  @Test
  void rejectsOnArrivalARequestThatCannotMeetItsDeadline() {
    DispatchFixture fixture = DispatchFixture.ready(1, 1);
    for (int i = 1; i <= 50; i++) {
      fixture.arrive(i, fixture.attributes("a", true, false));
      fixture.handle(new DispatchEvent.DispatchEnded(i, DispatchFixture.answered(""), 4_000));
    }
    for (int i = 101; i <= 104; i++) {
      fixture.arrive(i, fixture.attributes("a", true, false));
    }
    assertEquals(Optional.empty(), fixture.refusalOf(103));
    assertEquals(Optional.of(RefusalReason.NO_EXECUTOR), fixture.refusalOf(104));
  }

  @Test
  void rejectsARequestWhoseDeadlinePassesInTheQueue() {
    DispatchFixture fixture = DispatchFixture.ready(1, 1);
    fixture.arrive(1, fixture.attributes("a", false, false));
    fixture.arrive(2, fixture.attributes("a", false, false));
    fixture.advanceTime(10_005);
    assertEquals(Optional.of(RefusalReason.DEADLINE_BEFORE_DISPATCH), fixture.refusalOf(2));
    assertEquals(Optional.empty(), fixture.refusalOf(1));
  }

  @Test
  void ejectsUnreachableExecutorsUpToHalfOfAll() {
    DispatchFixture fixture = DispatchFixture.ready(4, 8);
    for (int i = 1; i <= 30; i++) {
      fixture.arrive(i, fixture.attributes("b", true, false));
      for (int endedDispatches = 0; fixture.refusalOf(i).isEmpty(); fixture.advanceTime(20)) {
        if (fixture.executorsOf(i).size() > endedDispatches) {
          endedDispatches++;
          fixture.endDispatch(i, UNREACHABLE);
        }
      }
    }
    HashSet<String> last = new HashSet<>();
    fixture.all(DispatchCommand.Send.class).reversed().stream()
        .limit(10)
        .forEach(send -> last.add(send.executor().value()));
    assertEquals(2, last.size());
    assertTrue(fixture.count("fescuehook.executors.ejections.capped") > 0);
  }

  @Test
  void keepsAnExecutorThatAcceptsANewConnection() {
    DispatchFixture fixture = DispatchFixture.ready(2, 4);
    fixture.arrive(1, fixture.attributes("a", true, false));
    String executor = fixture.executorsOf(1).getFirst();
    fixture.endDispatch(
        1, new DispatchResult.Failed(DispatchResult.FailureKind.CONNECTION_LOST, false, false));
    DispatchCommand.CheckPath check = fixture.last(DispatchCommand.CheckPath.class).orElseThrow();
    assertEquals(executor, check.executor().value());

    fixture.handle(new DispatchEvent.PathChecked(check.executor(), true));
    assertEquals(0, fixture.count("fescuehook.executors.ejections"));
    assertEquals(
        executor, fixture.last(DispatchCommand.CloseIdle.class).orElseThrow().executor().value());
  }

  @Test
  void ejectsAnExecutorThatRefusesANewConnection() {
    DispatchFixture fixture = DispatchFixture.ready(2, 4);
    fixture.arrive(1, fixture.attributes("a", true, false));
    fixture.endDispatch(
        1, new DispatchResult.Failed(DispatchResult.FailureKind.CONNECTION_LOST, false, false));
    DispatchCommand.CheckPath check = fixture.last(DispatchCommand.CheckPath.class).orElseThrow();
    fixture.handle(new DispatchEvent.PathChecked(check.executor(), false));
    for (int i = 2; i <= 5; i++) {
      fixture.arrive(i, fixture.attributes("a", true, false));
    }
    Map<String, Long> sent = new HashMap<>();
    fixture
        .all(DispatchCommand.Send.class)
        .forEach(send -> sent.merge(send.executor().value(), 1L, Long::sum));
    assertEquals(1, sent.get(check.executor().value()));
  }

  @Test
  void increasesTheSlotsOfAnEjectedExecutorSlowly() {
    ExecutorHealth health = new ExecutorHealth();
    long durationMillis = health.eject(1_000);
    assertTrue(health.isEjected(1_000 + durationMillis - 1));
    long ejectionEndMillis = 1_000 + durationMillis;
    assertEquals(1, health.allowedSlots(8, ejectionEndMillis));
    assertEquals(
        4, health.allowedSlots(8, ejectionEndMillis + ExecutorHealth.SLOW_START_MILLIS / 2));
    assertEquals(8, health.allowedSlots(8, ejectionEndMillis + ExecutorHealth.SLOW_START_MILLIS));
  }

  @Test
  void rejectsRequestsBeforeTheFirstSharesArrive() {
    DispatchFixture fixture = new DispatchFixture("vm-1", "inc-1", 7);
    fixture.handle(new DispatchEvent.Configured(DispatchFixture.configuration(1)));
    fixture.handle(new DispatchEvent.Ready(true, RefusalReason.NOT_READY));
    fixture.arrive(1, fixture.attributes("a", false, false));
    assertEquals(Optional.of(RefusalReason.NOT_READY), fixture.refusalOf(1));
  }
}
