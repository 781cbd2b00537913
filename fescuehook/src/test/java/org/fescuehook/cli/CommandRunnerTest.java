package org.fescuehook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.fescuehook.cli.command.EntryStarter;
import org.fescuehook.cli.command.ExitCode;
import org.fescuehook.model.preferences.EntryPreferences;
import org.fescuehook.page.PageNamer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandRunnerTest {

  private static final String SETTINGS =
      """
      [identity]
      vm = entry-1
      failure-domain = a
      [addresses]
      service = 127.0.0.1:0
      peer = 127.0.0.1:0
      operator = 127.0.0.1:%d
      log = 127.0.0.1:7100
      list = 127.0.0.1:7101
      """;

  private final List<EntryPreferences> started = new ArrayList<>();
  private final EntryStarter starter =
      preferences -> {
        started.add(preferences);
        return ExitCode.DONE;
      };

  @TempDir private Path directory;

  @Test
  void commandsPageMatchesTheHelpTexts() {
    Approvals.verify(new CommandsPage().text(), PageNamer.page("operators/COMMANDS"));
  }

  @Test
  void unknownCommandIsRejectedWithOneLine() {
    CommandResult result = CommandResult.of("config", "burn");

    assertEquals(ExitCode.FAULTY_INPUT, result.exitCode());
    assertEquals(
        "fescuehook: unknown command \"config burn\"; see fescuehook --help\n", result.err());
  }

  @Test
  void invalidOptionValueIsRejectedWithOneLine() {
    CommandResult result = CommandResult.of("status", "--operator", "localhost:7002");

    assertEquals(ExitCode.FAULTY_INPUT, result.exitCode());
    assertEquals(1, result.err().lines().count(), result.err());
    assertTrue(result.err().contains("accepted: IP:port"), result.err());
  }

  @Test
  void entryIsStartedWithTheSettingsFromTheFile() throws IOException {
    String file = writeFile("settings.ini", SETTINGS.formatted(0));

    CommandResult result = CommandResult.of(starter, Map.of(), "entry", "--settings", file);

    assertEquals(ExitCode.DONE, result.exitCode());
    assertEquals("entry-1", started.getFirst().identity().vm().value());
  }

  @Test
  void entryIsNotStartedWithInvalidSettings() throws IOException {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String settings = SETTINGS.formatted(taken.getLocalPort()) + "[control]\ntick = 1\n";
      String file = writeFile("settings.ini", settings);

      CommandResult result = CommandResult.of(starter, Map.of(), "entry", "--settings", file);

      assertEquals(ExitCode.FAULTY_INPUT, result.exitCode());
      assertEquals(List.of(), started);
      List<String> lines = result.err().lines().toList();
      assertEquals(2, lines.size(), result.err());
      assertTrue(lines.getFirst().contains("operator = 127.0.0.1:" + taken.getLocalPort()));
      assertTrue(lines.getLast().contains("tick = 1: has no unit"));
    }
  }

  @Test
  void faultsArePrintedAsJsonOnRequest() throws IOException {
    String file = writeFile("declarations.ini", "[rule 1]\nthen = maybe\n");

    CommandResult result = CommandResult.of("config", "check", "--format", "json", file);

    assertEquals(ExitCode.FAULTY_INPUT, result.exitCode());
    assertEquals("", result.err());
    assertTrue(result.out().contains("\"line\" : 2"), result.out());
    assertTrue(result.out().contains("\"valid\" : false"), result.out());
  }

  @Test
  void missingFileIsReportedByName() {
    CommandResult result = CommandResult.of("config", "check", "nowhere.ini");

    assertEquals(ExitCode.FAULTY_INPUT, result.exitCode());
    assertEquals("fescuehook: nowhere.ini: no such file; give its path\n", result.err());
  }

  private String writeFile(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }
}
