package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlannedStopTest {

  private final List<String> steps = new ArrayList<>();

  private PlannedStop of(PlannedStop.Stoppable program) {
    return new PlannedStop(program, () -> steps.add("log"), code -> steps.add("halt " + code));
  }

  @Test
  void theLogIsFlushedBetweenTheProgramStopAndTheHalt() {
    of(() -> steps.add("stop")).run();
    assertEquals(List.of("stop", "log", "halt 0"), steps);
  }

  @Test
  void theLogIsFlushedIfTheStopIsInterrupted() {
    of(() -> {
          throw new InterruptedException();
        })
        .run();
    assertEquals(List.of("log", "halt 0"), steps);
  }

  @Test
  void theLogIsFlushedIfTheStopThrows() {
    PlannedStop stop =
        of(
            () -> {
              throw new IllegalStateException("on purpose");
            });
    assertThrows(IllegalStateException.class, stop::run);
    assertEquals(List.of("log"), steps);
  }
}
