package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Guards against rounds of stops for a step that does not start, of which the log tells nothing.
 */
class FreedCapacityLogTest {

  private static final long STOP_NANOS = Duration.ofSeconds(2).toNanos();

  /** Later than the runs of the fixture were placed, which is a second before its time. */
  private static final long BEGINNING = PlanFixture.NOW - Duration.ofMillis(500).toNanos();

  private final PlanFixture fixture = new PlanFixture(1, 1, SchedulingPreferences.ALL_OFF);
  private final FreedCapacity freed = new FreedCapacity(STOP_NANOS);
  private final FreedCapacityLog log = new FreedCapacityLog(fixture.statistics.reliability());

  private List<BatchCommand.Note> notesAfter(long millis) {
    BatchContext context =
        new BatchContext(PlanFixture.NOW + Duration.ofMillis(millis).toNanos(), millis);
    log.check(fixture.waiting, freed, context);
    return context.commands().stream()
        .filter(BatchCommand.Note.class::isInstance)
        .map(BatchCommand.Note.class::cast)
        .toList();
  }

  private static void end(LiveRun run) {
    run.step().end(run.step().tasks().getFirst());
  }

  @Test
  void tellsOnceForEachRoundWhoTookTheCapacityThatWasFreed() {
    LiveRun victim = fixture.run("o", 2, PlanFixture.tasks(1, 8, 2000), 0);
    WaitingStep urgent = fixture.submit("o", 0, PlanFixture.tasks(1, 8, 2000));
    TaskPlacement place =
        new TaskPlacement(urgent.step(), urgent.tasks().getFirst(), fixture.executors.getFirst());
    freed.ordered(urgent, new Preemptor.Selection(List.of(victim), 1, List.of(place)), BEGINNING);
    assertEquals(List.of(), notesAfter(100), "the run has not ended yet");
    end(victim);
    fixture.executors.getFirst().remove(victim);
    LiveRun taker = fixture.run("o", 2, PlanFixture.tasks(1, 8, 2000), 0, PlanFixture.NOW);
    BatchCommand.Note note = notesAfter(200).getFirst();
    assertEquals(BatchLogEvent.FREED_CAPACITY_UNUSED, note.event());
    assertEquals(urgent.step().job().job().id(), note.arguments().getFirst());
    assertEquals(1, note.arguments().get(4), "number of the round");
    assertEquals(taker.run().task().job(), note.arguments().getLast());
    assertEquals(List.of(), notesAfter(300), "logged once");
  }
}
