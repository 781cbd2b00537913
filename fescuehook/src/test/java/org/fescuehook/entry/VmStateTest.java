package org.fescuehook.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.junit.jupiter.api.Test;

class VmStateTest {

  private final ConfigurationKeeper keeper = new ConfigurationKeeper(configuration -> {});
  private final VmState state =
      new VmState(new VmId("entry-1"), MembershipPreferences.DEFAULT, keeper);

  @Test
  void aStoppingVmIsNotReadyButStillDoesItsWork() {
    keeper.offer(configuration(7), "log");
    state.recordLogRead(true);
    state.setCaughtUp();
    state.setOpen(true);
    assertEquals(Optional.empty(), state.notReady());

    state.setDraining();

    assertEquals(Optional.of("draining"), state.notReady());
    assertEquals(Optional.empty(), state.unfitReason());
  }

  @Test
  void aVmIsNotReadyBeforeItsServicePortTakesRequests() {
    keeper.offer(configuration(7), "log");
    state.recordLogRead(true);
    state.setCaughtUp();

    assertEquals(Optional.of("opening"), state.notReady());

    state.setOpen(true);
    assertEquals(Optional.empty(), state.notReady());
  }

  @Test
  void anOlderConfigurationNeverReplacesANewerOne() {
    keeper.offer(configuration(7), "log");

    keeper.offer(configuration(5), "peer");

    assertEquals(7, keeper.revision());
    assertEquals(1, keeper.history().size());
  }

  private static Configuration configuration(long revision) {
    Declarations declarations =
        new Declarations(
            List.of(),
            List.of(),
            List.of(),
            new Fleet(List.of(), List.of()),
            PolicyPreferences.DEFAULT);
    return new Configuration(revision, -1, "author", "reason", "", declarations);
  }
}
