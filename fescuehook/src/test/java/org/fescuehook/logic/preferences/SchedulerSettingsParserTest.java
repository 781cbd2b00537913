package org.fescuehook.logic.preferences;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.preferences.MaintenancePreferences;
import org.fescuehook.model.preferences.SchedulerPreferences;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SchedulerSettingsParserTest {

  private static final String COMPLETE =
      """
      [identity]
      vm = vm-1
      failure-domain = a
      [addresses]
      callers = 10.1.0.19:8521
      readiness = 10.1.0.19:8523
      peers = 10.1.0.19:7000
      metrics = 10.1.0.19:7015
      store = 10.200.1.7:8524
      [bounds]
      executor-lease = 6000ms
      status-retention = 120s
      """;

  private static SchedulerPreferences parse(String text) throws FaultyInputException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return new SchedulerSettingsParser().parse(new IniSource("settings.ini", bytes));
  }

  @Test
  void completeSettingsAreParsed() throws FaultyInputException {
    SchedulerPreferences preferences = parse(COMPLETE);

    assertEquals("vm-1", preferences.identity().vm().value());
    assertEquals(7000, preferences.addresses().peers().getPort());
    assertEquals(Duration.ofSeconds(6), preferences.batch().executorLease());
    assertEquals(Duration.ofSeconds(120), preferences.batch().statusRetention());
  }

  @Test
  void allFaultsAreReportedAtOnce() {
    String faulty =
        COMPLETE
            .replace("store = 10.200.1.7:8524\n", "")
            .replace("10.1.0.19:7015", "host:7015")
            .replace("6000ms", "6000")
            .replace("[bounds]", "[bounds]\nunknown = 1");

    FaultyInputException e = assertThrows(FaultyInputException.class, () -> parse(faulty));
    assertEquals(4, e.faults().size());
  }

  /** Guards against an optional part that is in use although the settings do not ask for it. */
  @Test
  void optionalPartsAreOffUnlessSwitchedOn() throws FaultyInputException {
    assertEquals(SchedulingPreferences.ALL_OFF, parse(COMPLETE).batch().scheduling());

    SchedulerPreferences preferences =
        parse(COMPLETE + "[scheduling]\nexecutor-speeds = on\nfair-shares = off\n");

    assertEquals(
        new SchedulingPreferences(true, false, false, false, false, false, false),
        preferences.batch().scheduling());
  }

  /** Guards against maintenance without a service or without the operators' consent. */
  @Test
  void machinesAreMaintainedOnlyWithAnAddressAndTheSwitch() throws FaultyInputException {
    String address = COMPLETE.replace("[bounds]", "machines = 10.200.1.7:8530\n[bounds]");
    String on = "[scheduling]\nmaintenance-waves = on\n";

    assertEquals(MaintenancePreferences.NONE, parse(COMPLETE + on).batch().maintenance());
    assertEquals(MaintenancePreferences.NONE, parse(address).batch().maintenance());
    assertTrue(parse(address + on).batch().maintenance().machineApi());
  }

  /** Guards against values of the platform that keep a VM from starting. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "machines = api.example:8530",
        "machines =",
        "machines = 10.0.0.1:1\nmachines = 10.0.0.2:1",
        "machines = 'x'",
        "[bounds]\nmachine-calls-per-second = 0",
        "[bounds]\nmachine-reads-per-second = 1e9",
        "[bounds]\ncaller-lease = -1ms"
      })
  void anUnusableValueForMaintenanceMeansThatThereIsNoMachineApi(String line)
      throws FaultyInputException {
    String text = COMPLETE.replace("[bounds]", line.contains("[") ? line : line + "\n[bounds]");
    for (String state : new String[] {"off", "on"}) {
      SchedulerPreferences preferences =
          parse(text + "[scheduling]\nmaintenance-waves = " + state + "\n");

      assertEquals(MaintenancePreferences.NONE, preferences.batch().maintenance());
      assertEquals(Optional.empty(), preferences.addresses().machines());
      assertFalse(preferences.unusable().isEmpty());
    }
  }
}
