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
  void sendsANonRepeatableRequestOnceWhenItsConnectionIsLost() {
    CoreFixture core = CoreFixture.ready(3, 4);
    core.arrive(1, core.facts("a", false, false));
    core.end(1, CoreFixture.lost());
    core.pass(9_000);

    assertEquals(1, core.executorsOf(1).size());
    assertEquals(Optional.of(RefusalReason.CONNECTION_LOST), core.refusalOf(1));
  }

  @Test
  void sendsANonRepeatableRequestElsewhereWhenItSurelyDidNotRun() {
    for (DispatchResult end : List.of(NOT_RUN, UNREACHABLE)) {
      CoreFixture core = CoreFixture.ready(3, 4);
      core.arrive(1, core.facts("a", false, false));
      core.end(1, end);
      core.pass(1_000);

      List<String> executors = core.executorsOf(1);
      assertEquals(2, executors.size());
      assertNotEquals(executors.get(0), executors.get(1));
    }
  }

  @Test
  void neverSaysNotRunAfterADispatchThatMayHaveRun() {
    CoreFixture core = CoreFixture.ready(3, 4);
    core.arrive(1, core.facts("a", false, true));
    core.end(1, CoreFixture.lost());
    core.pass(1_000);
    core.end(1, NOT_RUN);
    core.pass(1_000);
    core.end(1, NOT_RUN);

    assertEquals(3, core.executorsOf(1).size());
    assertEquals(ExecutionStatus.UNKNOWN, core.refusalOf(1).orElseThrow().ran());
  }

  @Test
  void keepsRetriesWithinTheBudgetsShareOfLiveRequests() {
    CoreFixture core = CoreFixture.ready(3, 8);
    for (int i = 1; i <= 1_000; i++) {
      core.arrive(i, core.facts("a", false, true));
      core.end(i, CoreFixture.lost());
      core.pass(5);
      if (core.refusalOf(i).isEmpty()) {
        core.pass(20);
        core.answer(i);
      }
    }
    // All within the ten seconds of the window.
    assertTrue(core.now - 1_000_000 < 10_000);
    assertEquals(100 + RetryBudget.FLOOR, core.all(DispatchCommand.CountRetry.class).size());
    assertTrue(core.count("fescuehook.requests.retries.over.budget") > 0);
  }

  @Test
  void sendsNothingNewToALeavingExecutor() {
    CoreFixture core = CoreFixture.ready(2, 4);
    core.leave("e0");
    for (int i = 1; i <= 4; i++) {
      core.arrive(i, core.facts("a", true, false));
    }
    assertEquals(4, core.sentTickets().size());
    core.all(DispatchCommand.Send.class)
        .forEach(send -> assertEquals("e1", send.executor().value()));
  }

  @Test
  void lowersAShareAtOnceAndRaisesItAfterItsSettlingTime() {
    CoreFixture core = CoreFixture.ready(1, 4);
    core.handle(new DispatchEvent.Shared(core.shares(1, 1, 3_000)));
    core.arrive(1, core.facts("a", true, false));
    core.arrive(2, core.facts("a", true, false));
    assertEquals(List.of(1L), core.sentTickets());

    core.handle(new DispatchEvent.Shared(core.shares(1, 4, 3_000)));
    core.pass(2_995);
    assertEquals(List.of(1L), core.sentTickets());
    core.pass(10);
    assertEquals(List.of(1L, 2L), core.sentTickets());
  }

  @Test
  void keepsSlotsForUrgentRequestsUnderAFloodOfOthers() {
    CoreFixture core = CoreFixture.ready(2, 4);
    for (int i = 1; i <= 20; i++) {
      core.arrive(i, core.facts("a", false, false));
    }
    assertEquals(7, core.sentTickets().size());
    core.arrive(100, core.facts("b", true, false));
    assertEquals(100L, core.sentTickets().getLast());
  }

  @Test
  void sendsWaitingUrgentRequestsBeforeOthers() {
    CoreFixture core = CoreFixture.ready(1, 1);
    core.arrive(1, core.facts("a", false, false));
    core.arrive(2, core.facts("a", false, false));
    core.arrive(3, core.facts("a", true, false));
    core.answer(1);
    assertEquals(List.of(1L, 3L), core.sentTickets());
  }

  @Test
  void sharesSlotsBetweenOrganisationsByWeight() {
    FairQueue queue = new FairQueue(1_000);
    queue.weigh(Map.of(new OrganisationId("a"), 3.0, new OrganisationId("b"), 1.0));
    for (int i = 0; i < 400; i++) {
      queue.add(new OrganisationId("a"), i);
      queue.add(new OrganisationId("b"), 1_000 + i);
    }
    int fromA = 0;
    for (int i = 0; i < 200; i++) {
      fromA += queue.take(ticket -> true).getAsLong() < 1_000 ? 1 : 0;
    }
    assertEquals(150, fromA);
  }

  @Test
  void refusesAnOrganisationBeyondItsShare() {
    CoreFixture core = CoreFixture.ready(2, 4);
    for (int i = 1; i <= 41; i++) {
      core.arrive(i, core.facts("a", false, false));
    }
    core.arrive(42, core.facts("b", false, false));
    assertEquals(Optional.of(RefusalReason.ORGANISATION_SHARE), core.refusalOf(41));
    assertEquals(Optional.empty(), core.refusalOf(42));
  }

  @Test
  void refusesAtOnceWhatCannotMakeItsDeadline() {
    CoreFixture core = CoreFixture.ready(1, 1);
    for (int i = 1; i <= 50; i++) {
      core.arrive(i, core.facts("a", true, false));
      core.handle(new DispatchEvent.DispatchEnded(i, CoreFixture.answered(""), 4_000));
    }
    for (int i = 101; i <= 104; i++) {
      core.arrive(i, core.facts("a", true, false));
    }
    assertEquals(Optional.empty(), core.refusalOf(103));
    assertEquals(Optional.of(RefusalReason.NO_EXECUTOR), core.refusalOf(104));
  }

  @Test
  void answersARequestWhoseDeadlinePassesInTheQueue() {
    CoreFixture core = CoreFixture.ready(1, 1);
    core.arrive(1, core.facts("a", false, false));
    core.arrive(2, core.facts("a", false, false));
    core.pass(10_005);
    assertEquals(Optional.of(RefusalReason.DEADLINE_BEFORE_DISPATCH), core.refusalOf(2));
    assertEquals(Optional.empty(), core.refusalOf(1));
  }

  @Test
  void ejectsUnreachableExecutorsButNeverMoreThanHalf() {
    CoreFixture core = CoreFixture.ready(4, 8);
    for (int i = 1; i <= 30; i++) {
      core.arrive(i, core.facts("b", true, false));
      for (int ended = 0; core.refusalOf(i).isEmpty(); core.pass(20)) {
        if (core.executorsOf(i).size() > ended) {
          ended++;
          core.end(i, UNREACHABLE);
        }
      }
    }
    HashSet<String> last = new HashSet<>();
    core.all(DispatchCommand.Send.class).reversed().stream()
        .limit(10)
        .forEach(send -> last.add(send.executor().value()));
    assertEquals(2, last.size());
    assertTrue(core.count("fescuehook.executors.ejections.capped") > 0);
  }

  @Test
  void takesADeadPathForNoDeadExecutor() {
    CoreFixture core = CoreFixture.ready(2, 4);
    core.arrive(1, core.facts("a", true, false));
    String executor = core.executorsOf(1).getFirst();
    core.end(
        1, new DispatchResult.Failed(DispatchResult.FailureKind.CONNECTION_LOST, false, false));
    DispatchCommand.CheckPath check = core.last(DispatchCommand.CheckPath.class).orElseThrow();
    assertEquals(executor, check.executor().value());

    core.handle(new DispatchEvent.PathChecked(check.executor(), true));
    assertEquals(0, core.count("fescuehook.executors.ejections"));
    assertEquals(
        executor, core.last(DispatchCommand.CloseIdle.class).orElseThrow().executor().value());
  }

  @Test
  void takesAPathWithoutAFreshConnectionForADeadExecutor() {
    CoreFixture core = CoreFixture.ready(2, 4);
    core.arrive(1, core.facts("a", true, false));
    core.end(
        1, new DispatchResult.Failed(DispatchResult.FailureKind.CONNECTION_LOST, false, false));
    DispatchCommand.CheckPath check = core.last(DispatchCommand.CheckPath.class).orElseThrow();
    core.handle(new DispatchEvent.PathChecked(check.executor(), false));
    for (int i = 2; i <= 5; i++) {
      core.arrive(i, core.facts("a", true, false));
    }
    Map<String, Long> sent = new HashMap<>();
    core.all(DispatchCommand.Send.class)
        .forEach(send -> sent.merge(send.executor().value(), 1L, Long::sum));
    assertEquals(1, sent.get(check.executor().value()));
  }

  @Test
  void letsAnEjectedExecutorBackSlowly() {
    ExecutorHealth health = new ExecutorHealth();
    long lasts = health.eject(1_000);
    assertTrue(health.ejected(1_000 + lasts - 1));
    long back = 1_000 + lasts;
    assertEquals(1, health.allowed(8, back));
    assertEquals(4, health.allowed(8, back + ExecutorHealth.SLOW_START_MILLIS / 2));
    assertEquals(8, health.allowed(8, back + ExecutorHealth.SLOW_START_MILLIS));
  }

  @Test
  void refusesBeforeTheFirstSharesArrive() {
    CoreFixture core = new CoreFixture("vm-1", "inc-1", 7);
    core.handle(new DispatchEvent.Configured(CoreFixture.configuration(1)));
    core.handle(new DispatchEvent.Ready(true, RefusalReason.NOT_READY));
    core.arrive(1, core.facts("a", false, false));
    assertEquals(Optional.of(RefusalReason.NOT_READY), core.refusalOf(1));
  }
}
