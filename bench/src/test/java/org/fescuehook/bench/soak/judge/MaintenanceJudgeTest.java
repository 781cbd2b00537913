package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a judge that overlooks a broken cap, or a caller that was replaced. */
class MaintenanceJudgeTest {

  private final HistoryBuilder history = new HistoryBuilder();

  @Test
  void asManyAwayAsTheCapAreAllowed() {
    history.maintained(1, "vm-1", 5, 1, 2, 1000).maintained(2, "vm-1", 5, 2, 2, 1100);
    assertEquals(Set.of(), history.broken());
    assertEquals(2, history.judge().checked(Promise.MAINTENANCE_CAP));
  }

  @Test
  void oneMoreAwayThanTheCapIsFound() {
    history.maintained(1, "vm-1", 5, 3, 2, 1000);
    assertEquals(Set.of(Promise.MAINTENANCE_CAP), history.broken());
  }

  @Test
  void aLowerTokenIsFound() {
    history.maintained(1, "vm-1", 5, 1, 2, 1000).maintained(1, "vm-1", 4, 1, 2, 9000);
    assertEquals(Set.of(Promise.MAINTENANCE_TOKEN), history.broken());
  }

  @Test
  void anotherHolderIsAllowedThreeSecondsLater() {
    history.maintained(1, "vm-1", 5, 1, 2, 1000).maintained(1, "vm-2", 6, 1, 2, 4000);
    assertEquals(Set.of(), history.broken());
    history.maintained(1, "vm-3", 7, 1, 2, 6999);
    assertEquals(Set.of(Promise.MAINTENANCE_TOKEN), history.broken());
  }
}
