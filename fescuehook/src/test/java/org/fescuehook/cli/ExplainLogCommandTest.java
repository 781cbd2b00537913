package org.fescuehook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fescuehook.cli.command.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainLogCommandTest {

  private static final String JOB = "613a0aabc6d4ee61";

  @TempDir private Path directory;

  private static String line(long number, long millis, int event, String message) {
    return ("vm-1 {\"sequenceNumber\":%d,\"timestamp\":%d,\"level\":\"INFO\","
            + "\"kvpList\": [{\"event\":\"%d\"}],\"formattedMessage\":\"%s\"}")
        .formatted(number, millis, event, message);
  }

  private static String accepted(long number, long millis) {
    return line(number, millis, 8010, "Job " + JOB + " accepted: queue q");
  }

  private static String ended(long number, long millis) {
    return line(number, millis, 8013, "Job " + JOB + " ended COMPLETED after 1 ms");
  }

  private static String unrelated(long number, long millis) {
    return line(number, millis, 8309, "Call Submit of other answered");
  }

  private static String gracefulStop(long number, long millis) {
    return line(number, millis, 8303, "graceful stop ended");
  }

  private CommandResult explain(String... lines) throws IOException {
    Path log = Files.write(directory.resolve("vm.log"), List.of(lines));
    return CommandResult.of("explain-log", JOB, "--log", log.toString());
  }

  @Test
  void gapInTheLogDuringTheJobIsReportedWithItsLineCount() throws IOException {
    CommandResult result = explain(accepted(1, 1000), unrelated(9, 1500), ended(10, 3000));

    assertEquals(ExitCode.DONE, result.exitCode(), result.err());
    assertTrue(
        result.out().contains("Missing: up to 7 lines of vm-1 from 0.000 s to 0.500 s\n"),
        result.out());
  }

  @Test
  void gapInTheLogAfterTheJobIsNotReported() throws IOException {
    CommandResult result =
        explain(accepted(1, 1000), ended(2, 2000), unrelated(3, 2500), gracefulStop(10, 9000));

    assertFalse(result.out().contains("Missing"), result.out());
  }

  @Test
  void lastLinesOfACrashedProcessAreReportedAsPossiblyMissing() throws IOException {
    CommandResult result =
        explain(accepted(1, 1000), unrelated(2, 1500), unrelated(1, 4000), ended(2, 5000));

    assertTrue(
        result
            .out()
            .contains(
                "Missing: perhaps the last lines of vm-1, which ended unplanned,"
                    + " from 0.500 s to 3.000 s\n"),
        result.out());
  }

  @Test
  void restartAfterAGracefulStopIsNotReportedAsAGap() throws IOException {
    CommandResult result =
        explain(accepted(1, 1000), gracefulStop(2, 1500), unrelated(1, 4000), ended(2, 5000));

    assertFalse(result.out().contains("Missing"), result.out());
  }

  @Test
  void linesLoggedOutOfOrderAreNotReportedAsMissing() throws IOException {
    CommandResult result =
        explain(
            unrelated(2, 900),
            accepted(1, 1000),
            unrelated(4, 1200),
            ended(3, 1200),
            gracefulStop(5, 1300));

    assertFalse(result.out().contains("Missing"), result.out());
    assertFalse(result.out().contains("No more lines"), result.out());
  }

  @Test
  void jobWithoutEndEventListsVmsWhoseLogsEndEarly() throws IOException {
    CommandResult result = explain(accepted(1, 1000), unrelated(2, 1500));

    assertTrue(
        result.out().contains("No more lines, lost or idle: vm-1 after 0.500 s\n"), result.out());
  }

  @Test
  void unknownJobIsReportedWithTheNumberOfGapsInTheLogs() throws IOException {
    CommandResult result = explain(unrelated(1, 1000), unrelated(9, 1500));

    assertEquals(ExitCode.REFUSED, result.exitCode());
    assertTrue(result.err().contains("lines are missing at 1 places"), result.err());
  }

  @Test
  void linesWithoutSequenceNumbersAreNotReportedAsMissing() throws IOException {
    CommandResult result = explain(accepted(0, 1000), ended(0, 2000));

    assertEquals(ExitCode.DONE, result.exitCode(), result.err());
    assertFalse(result.out().contains("Missing"), result.out());
  }
}
