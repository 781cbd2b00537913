package org.fescuehook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.cli.command.ExitCode;
import org.fescuehook.entry.ParsedDeclarations;
import org.fescuehook.logic.control.ControlCore;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.trace.ControlTraceWriter;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplayCommandTest {

  private static final long SECOND_NANOS = 1_000_000_000;
  private static final String JOBS =
      """
      fescuehook-trace 1
      organisation surveys weight=1 quota=8
      worker w-1 domain=a rack=r1 accelerators=8 cores=8 memory-mb=1024
      at 1000 submit j-1 organisation=surveys members=1 accelerators=8 cores=1 memory-mb=1 \
      max-racks=0 urgent=false checkpointable=false declared-s=60 runs-s=60
      at 2000 submit j-2 organisation=surveys members=2 accelerators=8 cores=1 memory-mb=1 \
      max-racks=0 urgent=false checkpointable=false declared-s=60 runs-s=60
      """;

  @TempDir private Path directory;

  @Test
  void replayOfADecisionCoreTraceReproducesItsCommands() throws IOException {
    CommandResult result = replay(String.join("\n", recordedTrace()));

    assertEquals(ExitCode.DONE, result.exitCode(), result.err());
    assertTrue(result.out().startsWith("events: 9\ncommands: "), result.out());
    assertTrue(result.out().contains("same: true\n"), result.out());
  }

  @Test
  void commandThatDiffersFromTheTraceIsPrintedAndGivesExitCodeRefused() throws IOException {
    List<String> lines = recordedTrace();
    int append = 0;
    while (!lines.get(append).startsWith("> append")) {
      append++;
    }
    lines.set(append, "> append AAAA");

    CommandResult result = replay(String.join("\n", lines));

    assertEquals(ExitCode.REFUSED, result.exitCode());
    assertTrue(result.out().contains("> append AAAA"), result.out());
  }

  @Test
  void replayOfAJobTracePrintsTheOutcomeOfEachJob() throws IOException {
    CommandResult result = replay(JOBS);

    assertEquals(ExitCode.DONE, result.exitCode(), result.err());
    List<String> rows =
        result.out().lines().map(line -> line.strip().replaceAll(" +", " ")).toList();
    assertTrue(rows.get(2).startsWith("j-1 surveys finished 1 "), result.out());
    assertTrue(rows.get(3).startsWith("j-2 surveys refused 2 "), result.out());
  }

  @Test
  void invalidLineIsReportedByNumber() throws IOException {
    CommandResult jobs = replay(JOBS.replace("rack=r1", "rock=r1"));
    CommandResult control = replay("fescuehook-control-trace 1\nnonsense\n");

    assertEquals(ExitCode.FAULTY_INPUT, jobs.exitCode());
    assertTrue(jobs.err().contains("trace.txt:3: rack"), jobs.err());
    assertEquals(ExitCode.FAULTY_INPUT, control.exitCode());
    assertTrue(control.err().contains("line 2"), control.err());
  }

  private CommandResult replay(String trace) throws IOException {
    String file = Files.writeString(directory.resolve("trace.txt"), trace).toString();
    return CommandResult.of("replay", file);
  }

  private static List<String> recordedTrace() {
    IdentityPreferences identity =
        new IdentityPreferences(new VmId("entry-1"), new FailureDomain("a"));
    ControlPreferences preferences = ControlPreferences.DEFAULT;
    ControlCore core =
        new ControlCore(
            identity, "i1", preferences, new GuaranteeScheduler(), new ParsedDeclarations());
    List<String> lines = new ArrayList<>(ControlTraceWriter.header(identity, "i1", preferences));
    for (int i = 0; i < 9; i++) {
      ControlEvent event = i % 2 == 0 ? new ControlEvent.CaughtUp(0, 0) : new ControlEvent.Tick();
      long nanos = i * SECOND_NANOS / 2;
      lines.addAll(ControlTraceWriter.lines(event, nanos, i, core.apply(event, nanos, i)));
    }
    return lines;
  }
}
