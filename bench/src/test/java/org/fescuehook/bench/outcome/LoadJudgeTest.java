package org.fescuehook.bench.outcome;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.standins.executor.RequestRun;
import org.junit.jupiter.api.Test;

class LoadJudgeTest {
  private static final InetSocketAddress VM = InetSocketAddress.createUnresolved("vm", 1);

  private final OutcomeTable table =
      new OutcomeTable(
          new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
  private final LoadJudge judge = new LoadJudge(table);

  @Test
  void wholeAnswersAndUnknownOutcomesThatRanOnceAreAsTold() {
    Sent unknown = new Sent("/b", VM, new CallerOutcome.Unanswered("closed"));

    judge.runsAreAsTold("load", List.of(answered("/a", 200, "/a"), unknown), runs("/a", "/b"));

    assertTrue(table.allAsStated());
  }

  @Test
  void requestThatRanTwiceIsNotAsTold() {
    judge.runsAreAsTold("load", List.of(answered("/a", 200, "/a")), runs("/a", "/a"));

    assertFalse(table.allAsStated());
  }

  @Test
  void refusalAsNotRunOfARequestThatRanIsNotAsTold() {
    Sent refused = answered("/a", 503, "{\"ran\":\"no\"}");

    judge.runsAreAsTold("load", List.of(refused), runs("/a"));

    assertFalse(table.allAsStated());
  }

  @Test
  void answerToAnotherRequestIsNotAsTold() {
    judge.runsAreAsTold("load", List.of(answered("/a", 200, "/b")), runs("/a"));

    assertFalse(table.allAsStated());
  }

  @Test
  void unknownOutcomeIsNeitherWholeNorNotRun() {
    judge.wholeOrNotRun("load", List.of(answered("/a", 503, "{\"ran\":\"unknown\"}")));

    assertFalse(table.allAsStated());
  }

  private static Sent answered(String path, int status, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    return new Sent(path, VM, new CallerOutcome.Answered(status, Map.of(), body, 1));
  }

  private static List<RequestRun> runs(String... paths) {
    return List.of(paths).stream()
        .map(path -> new RequestRun("executor-1", "t", "", "bench", path, 1, 2, 1))
        .toList();
  }
}
