package org.fescuehook.logic.batch.plan;

import static org.fescuehook.logic.batch.plan.PlanFixture.NOW;
import static org.fescuehook.logic.batch.plan.PlanFixture.WHOLE_EXECUTOR;
import static org.fescuehook.logic.batch.plan.PlanFixture.gang;
import static org.fescuehook.logic.batch.plan.PlanFixture.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Reservations in single plans. Two racks of four executors; all of the first one is used for 9 s,
 * and one executor of the second for 3 s. A gang needs a whole rack.
 */
class ReservationPlanTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final SchedulingPreferences RESERVATIONS =
      new SchedulingPreferences(false, false, false, false, true, false, false);

  private final PlanFixture fleet = fleet(RESERVATIONS);

  private static PlanFixture fleet(SchedulingPreferences preferences) {
    PlanFixture fleet = new PlanFixture(8, 4, preferences);
    for (int executor = 0; executor < 4; executor++) {
      fleet.run("a", 0, tasks(1, WHOLE_EXECUTOR, 9000), executor);
    }
    fleet.run("a", 0, tasks(1, WHOLE_EXECUTOR, 3000), 7);
    return fleet;
  }

  private static WaitingStep submitGang(PlanFixture fleet) {
    return fleet.submit("a", 0, gang(4, WHOLE_EXECUTOR, 9000));
  }

  @Test
  void aBlockedGangHasAReservationInTheRackThatIsFreeFirst() {
    submitGang(fleet);
    List<Reservation> reservations = fleet.plan().reservations();
    assertEquals(1, reservations.size());
    assertEquals(NOW + 3 * SECOND, reservations.getFirst().startNanos());
    assertEquals(
        List.of(new RackId("r1")),
        reservations.getFirst().placements().stream()
            .map(placement -> placement.executor().profile().rack())
            .distinct()
            .toList());
  }

  @Test
  void aTaskThatEndsInTimeStartsInTheReservedCapacity() {
    submitGang(fleet);
    fleet.submit("a", 0, tasks(3, WHOLE_EXECUTOR, 2900));
    assertEquals(3, fleet.plan().starts().size());
  }

  @Test
  void aTaskThatEndsLaterDoesNotStartThere() {
    submitGang(fleet);
    fleet.submit("a", 0, tasks(3, 1, 3100));
    assertEquals(List.of(), fleet.plan().starts());
  }

  @Test
  void withoutReservationsItStarts() {
    PlanFixture plain = fleet(SchedulingPreferences.ALL_OFF);
    submitGang(plain);
    plain.submit("a", 0, tasks(3, 1, 3100));
    assertEquals(3, plain.plan().starts().size());
  }

  /** A gang of two reserves two executors; what is free on another one of the rack is open. */
  @Test
  void capacityBesideTheReservationRemainsOpen() {
    fleet.run("a", 0, tasks(1, 5, 3000), 4);
    fleet.run("a", 0, tasks(1, 5, 3000), 5);
    fleet.run("a", 0, tasks(1, 5, 3000), 6);
    fleet.submit("a", 0, gang(2, WHOLE_EXECUTOR, 9000));
    fleet.submit("a", 0, tasks(20, 1, 5000));
    assertEquals(3, fleet.plan().starts().size());
  }

  @Test
  void workOfAHigherRankIsNotLimited() {
    fleet.submit("a", 1, gang(4, WHOLE_EXECUTOR, 9000));
    fleet.submit("a", 0, tasks(3, WHOLE_EXECUTOR, 9000));
    assertEquals(3, fleet.plan().starts().size());
  }

  @Test
  void onlyTheFirstBlockedGangOfARankHasAReservation() {
    for (int i = 0; i < 5; i++) {
      submitGang(fleet);
    }
    assertEquals(1, fleet.plan().reservations().size());
  }

  /** Guards against capacity that stays idle because a run takes longer than expected. */
  @Test
  void aReservationThatIsMissedIsOpenToOthers() {
    submitGang(fleet);
    fleet.submit("a", 0, tasks(3, WHOLE_EXECUTOR, 9000));
    assertEquals(0, fleet.plan().starts().size());
    assertEquals(0, fleet.planAt(NOW + 6 * SECOND).starts().size());
    assertEquals(3, fleet.planAt(NOW + 7 * SECOND).starts().size());
  }

  /**
   * Guards against a log that repeats a reservation with each plan, or names one as missed early.
   */
  @Test
  void eachMissedReservationIsLoggedOnce() {
    submitGang(fleet);
    ReservationLog log = new ReservationLog();
    assertEquals(List.of(BatchLogEvent.RESERVATION_MADE), logged(log, 0));
    assertEquals(List.of(), logged(log, 6));
    assertEquals(List.of(BatchLogEvent.RESERVATION_MISSED), logged(log, 7));
    assertEquals(List.of(), logged(log, 8));
    assertEquals(List.of(), logged(log, 12));
    assertEquals(List.of(), logged(log, 18));
    assertEquals(List.of(BatchLogEvent.RESERVATION_MISSED), logged(log, 19));
  }

  private List<NumberedEvent> logged(ReservationLog log, long second) {
    BatchContext context = new BatchContext(NOW + second * SECOND, 0);
    log.check(fleet.waiting, fleet.planAt(context.nowNanos()), context);
    return context.commands().stream()
        .filter(BatchCommand.Note.class::isInstance)
        .map(command -> ((BatchCommand.Note) command).event())
        .toList();
  }

  /** Users accept capacity that is idle for at most 3 s while work waits. */
  @Test
  void workThatWaitsInAnIdleFleetIsNotLimited() {
    PlanFixture idle = new PlanFixture(8, 4, RESERVATIONS);
    idle.run("a", 0, tasks(1, 1, 9000), 0);
    idle.run("a", 0, tasks(1, 1, 9000), 4);
    submitGang(idle);
    idle.submit("a", 0, tasks(7, WHOLE_EXECUTOR, 9900), 0);
    assertEquals(3, idle.plan().starts().size());
    idle.waiting.removeLast();
    idle.submit("a", 0, tasks(7, WHOLE_EXECUTOR, 9900), 3 * SECOND);
    assertEquals(6, idle.plan().starts().size());
  }
}
