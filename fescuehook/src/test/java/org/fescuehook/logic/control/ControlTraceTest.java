package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.VirtualCluster.SendFault;
import org.fescuehook.logic.control.trace.ControlReplayer;
import org.fescuehook.logic.control.trace.ControlReplayer.Replay;
import org.fescuehook.logic.control.trace.ControlTraceWriter;
import org.fescuehook.logic.control.trace.InvalidTraceException;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.junit.jupiter.api.Test;

class ControlTraceTest {

  private static List<String> header() {
    IdentityPreferences identity =
        new IdentityPreferences(new VmId("vm-0"), new FailureDomain("domain"));
    return ControlTraceWriter.header(identity, "i1", ControlPreferences.DEFAULT);
  }

  /** Records a trace of an owner in which every kind of event and answer occurs. */
  private static List<String> record() {
    VirtualCluster cluster = new VirtualCluster(2, 4);
    VirtualVm vm = cluster.vms.get(0);
    vm.recording = true;
    cluster.run(java.time.Duration.ofSeconds(2));
    cluster.answer(vm, TestDeclarations.publish(-1, "4 3 first"));
    cluster.sendFault =
        (v, c) -> c instanceof WorkerCommand.Release ? SendFault.REPLY_LOST : SendFault.NONE;
    cluster.workers.get(TestDeclarations.worker(3)).refusing = true;
    cluster.ask(vm, TestDeclarations.submit(Optional.of("a b%"), 4, "finish 5"));
    cluster.ask(vm, TestDeclarations.gang(1, "finish 5"));
    cluster.ask(vm, TestDeclarations.gang(60, "finish 5"));
    cluster.run(java.time.Duration.ofSeconds(10));
    cluster.ask(vm, new Request.Show(new JobId("vm-0-i1-2"), 1000));
    cluster.ask(vm, new Request.Cancel(new JobId("vm-0-i1-1")));
    cluster.ask(vm, new Request.Explain(new JobId("vm-0-i1-1")));
    cluster.ask(vm, TestDeclarations.publish(-1, "4 3 second"));
    cluster.ask(vm, new Request.Status());
    cluster.log.down = true;
    cluster.run(java.time.Duration.ofSeconds(3));
    cluster.log.down = false;
    cluster.run(java.time.Duration.ofSeconds(3));
    cluster.ask(vm, new Request.HandOver());
    cluster.run(java.time.Duration.ofSeconds(2));
    List<String> lines = new ArrayList<>(header());
    lines.addAll(vm.trace);
    return lines;
  }

  private static Replay replay(List<String> lines) throws InvalidTraceException {
    ControlReplayer replayer =
        new ControlReplayer(FirstFitScheduler::new, new TestDeclarations.Reader());
    for (String line : lines) {
      replayer.next(line);
    }
    return replayer.end();
  }

  @Test
  void aReplayedTraceGivesTheSameCommandsByteForByte() throws InvalidTraceException {
    List<String> lines = record();
    Replay replay = replay(lines);
    assertEquals(Optional.empty(), replay.difference());
    long commands = lines.stream().filter(line -> line.startsWith("> ")).count();
    assertEquals(commands, replay.commands());
    System.out.printf("replayed %d events, %d commands%n", replay.events(), replay.commands());
    for (String word : List.of("granted", "states", "silent", "append-failed", "members")) {
      assertTrue(lines.stream().anyMatch(line -> line.contains(" " + word + " ")), word);
    }
  }

  @Test
  void aChangedCommandIsReportedWithItsLine() throws InvalidTraceException {
    List<String> lines = record();
    int index = lines.size() - 1;
    while (!lines.get(index).startsWith("> append")) {
      index--;
    }
    lines.set(index, lines.get(index) + "x");
    assertEquals(index + 1, replay(lines).difference().orElseThrow().line());
  }

  @Test
  void aMissingCommandIsReported() throws InvalidTraceException {
    List<String> lines = record();
    lines.removeIf(line -> line.startsWith("> send"));
    assertTrue(replay(lines).difference().isPresent());
  }

  @Test
  void invalidLinesAreRejectedWithLineAndField() {
    assertFault("line 1, format", List.of("fescuehook-control-trace 2"));
    assertFault("line 3, event", append("1 2 unknown"));
    assertFault("line 3, next", append("1 2 caught-up 5 x"));
    assertFault("line 3, next", append("1 2 caught-up 5"));
    assertFault("line 3, end of line", append("1 2 tick 5"));
    assertFault("line 3, monotonic time", append("tick"));
    assertFault("line 3, data", append("1 2 record 0 0 ***"));
    assertFault("line 3, number of VMs", append("1 2 peers-heard -1"));
    assertFault("line 3, certain", append("1 2 append-failed 1 yes"));
    assertFault("line 3, value", append("1 2 asked 1 cancel %20"));
    assertFault("line 2, event", List.of(header().get(0), "1 2 tick"));
  }

  private static List<String> append(String line) {
    List<String> lines = new ArrayList<>(header());
    lines.add(line);
    return lines;
  }

  private static void assertFault(String begin, List<String> lines) {
    InvalidTraceException fault = assertThrows(InvalidTraceException.class, () -> replay(lines));
    String message = String.valueOf(fault.getMessage());
    assertTrue(message.startsWith(begin), message);
  }
}
