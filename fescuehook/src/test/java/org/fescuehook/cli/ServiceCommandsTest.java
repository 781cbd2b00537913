package org.fescuehook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.cli.command.ExitCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ServiceCommandsTest {

  private final FakeEntryVm vm;

  ServiceCommandsTest() throws IOException {
    vm = new FakeEntryVm();
  }

  @AfterEach
  void stop() {
    vm.close();
  }

  @Test
  void submittedJobIsPrinted() {
    vm.respondsWith(202, "{\"job\":\"j-1\"}");

    CommandResult result = submit("--members", "4", "--memory", "8GiB", "--urgent");

    assertEquals(ExitCode.DONE, result.exitCode(), result.err());
    assertEquals("j-1\n", result.out());
    assertEquals(
        "{\"organisation\":\"surveys\",\"members\":4,\"accelerators\":2,\"cores\":1,"
            + "\"memoryMegabytes\":8192,\"maxRacks\":0,\"runTimeSeconds\":5400,\"urgent\":true,"
            + "\"checkpointable\":false,\"command\":\"train\"}",
        vm.bodies().getFirst());
  }

  @Test
  void submissionWithoutResponseAdvisesToRetryWithItsRequestId() {
    vm.dropsConnection();

    CommandResult result = submit("--request-id", "r-9");

    assertEquals(ExitCode.UNREACHABLE, result.exitCode());
    assertTrue(result.err().endsWith("submit again with --request-id r-9\n"), result.err());
  }

  @Test
  void rejectedSubmissionReportsWhetherTheJobRan() {
    vm.respondsWith(
        422, "{\"reason\":\"never-runnable\",\"detail\":\"no such shape\",\"ran\":\"no\"}");

    CommandResult result = submit();

    assertEquals(ExitCode.REFUSED, result.exitCode());
    assertEquals("fescuehook: refused: never-runnable: no such shape (ran: no)\n", result.err());
  }

  @Test
  void jobIsShownAfterWaitingAndCancelledByItsEncodedId() {
    vm.respondsWith(200, "{\"job\":\"a/b\",\"state\":\"finished\"}").respondsWith(200, "{}");

    CommandResult shown = run("job", "show", "a/b", "--wait", "1m");
    CommandResult cancelled = run("job", "cancel", "a/b");

    assertEquals("job: a/b\nstate: finished\n", shown.out());
    assertEquals(ExitCode.DONE, cancelled.exitCode());
    assertEquals(List.of("GET /jobs/a%2Fb?wait-ms=60000", "DELETE /jobs/a%2Fb"), vm.requests());
  }

  @Test
  void unknownJobIsNotFound() {
    vm.respondsWith(404, "{\"reason\":\"not-found\",\"ran\":\"no\"}");

    assertEquals(ExitCode.NOT_FOUND, run("job", "show", "j-1").exitCode());
  }

  private CommandResult submit(String... options) {
    List<String> all =
        new ArrayList<>(
            List.of(
                "submit",
                "--organisation",
                "surveys",
                "--accelerators",
                "2",
                "--run-time",
                "90m",
                "train"));
    all.addAll(List.of(options));
    return run(all.toArray(String[]::new));
  }

  private CommandResult run(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.add("--service");
    all.add(vm.address());
    return CommandResult.of(all.toArray(String[]::new));
  }
}
