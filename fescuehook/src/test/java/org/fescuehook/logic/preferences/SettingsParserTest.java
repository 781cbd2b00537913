package org.fescuehook.logic.preferences;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.EntryPreferences;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
class SettingsParserTest {

  private static final String REQUIRED =
      """
      [identity]
      vm = entry-1
      failure-domain = domain-a
      [addresses]
      service = 127.0.0.1:7000
      peer = [::1]:7001
      operator = 127.0.0.1:7002
      log = 10.0.0.10:7100
      list = 10.0.0.10:7101
      """;

  @Test
  void keysThatAreNotSetHaveTheirDefaults() throws FaultyInputException {
    assertEquals(ControlPreferences.DEFAULT, parse(REQUIRED).control());
  }

  @Test
  void durationsAndSizesAreParsedWithTheirUnits() throws FaultyInputException {
    EntryPreferences preferences =
        parse(REQUIRED + "[control]\nlease-ttl = 1.5 m ; long\n[requests]\nmax-body = 2MiB\n");

    assertEquals(Duration.ofSeconds(90), preferences.control().leaseTtl());
    assertEquals(2 << 20, preferences.requests().maxBodyBytes());
  }

  @Test
  void everyFaultIsReportedAtOnceWithItsPlace() {
    verifyFaults(
        """
        stray = 1
        [identity]
        vm = entry 1
        vm = entry-2
        [addresses]
        service = localhost:7000
        peer = 10.0.0.1:99999
        operator = 10.0.0.1
        operator-token = hunter2
        log = 10.0.0.10:0
        list = ::1:7101
        [control]
        lease-ttl = 30
        tick = 50 parsecs
        owner-heartbeat = 0ms
        renew-interval = soon
        grant-timeout = 400h00
        snapshot-interval = 9000000h
        no separator here
        [requests]
        max-body = 1MB
        max-header = 2GiB
        max-caller-connections = -1
        queue-length = 0
        retry-budget = 10%
        max-tries = 11
        color = red
        [control]
        tick = 1s
        [telemetry]
        on = true
        """);
  }

  @Test
  void limitsThatContradictEachOtherAreReported() {
    verifyFaults(
        REQUIRED.replace("operator = 127.0.0.1:7002", "operator = 0.0.0.0:7000")
            + """
            [control]
            owner-heartbeat = 1s
            owner-timeout = 2s
            renew-interval = 12s
            grant-timeout = 30s
            snapshot-interval = 2s
            tick = 2s
            [requests]
            default-timeout = 3m
            claim-window = 2m
            [membership]
            peer-timeout = 1s
            stale-after = 1s
            """);
  }

  @Test
  void portThatCannotBeListenedOnIsReported() {
    PortProbe probe =
        address -> address.getPort() == 7001 ? Optional.of("in use") : Optional.empty();

    FaultyInputException rejected =
        assertThrows(
            FaultyInputException.class,
            () -> new SettingsParser(probe).parse(IniSource.of("settings.ini", REQUIRED)));

    assertEquals(
        "settings.ini:6: [addresses] peer = [::1]:7001: cannot listen on [0:0:0:0:0:0:0:1]:7001:"
            + " in use; accepted: an address of this VM with a free port",
        rejected.getMessage());
  }

  @Test
  void operatorTokenIsNeverShown() {
    String settings = REQUIRED + "[control]\n";
    String faulty = settings.replace("peer = ", "operator-token = hunter2\npeer = ");

    FaultyInputException rejected = assertThrows(FaultyInputException.class, () -> parse(faulty));

    assertFalse(rejected.getMessage().contains("hunter2"), rejected.getMessage());
  }

  private static EntryPreferences parse(String text) throws FaultyInputException {
    return new SettingsParser(PortProbe.NONE).parse(IniSource.of("settings.ini", text));
  }

  private static void verifyFaults(String text) {
    FaultyInputException rejected = assertThrows(FaultyInputException.class, () -> parse(text));
    Approvals.verify(rejected.getMessage());
  }
}
