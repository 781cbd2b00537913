package org.fescuehook.bench.proof;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.standins.executor.RequestRun;
import org.junit.jupiter.api.Test;

class ProofCountsTest {
  private static final InetSocketAddress VM = InetSocketAddress.createUnresolved("vm", 1);
  private static final String REFUSAL = "{\"ran\":\"no\"}";

  @Test
  void retryThatIsAnsweredAfterOneThatIsNotIsAsPromised() {
    ProofCounts counts = ProofCounts.judge(List.of(request(none(), whole())), runs("/a"));

    assertTrue(counts.asPromised());
  }

  @Test
  void requestThatRanTwiceIsDoubled() {
    ProofCounts counts = ProofCounts.judge(List.of(request(whole())), runs("/a", "/a"));

    assertEquals(1, counts.doubled());
    assertFalse(counts.asPromised());
  }

  @Test
  void repeatableRequestThatRanTwiceIsNotDoubled() {
    TriedRequest repeatable = new TriedRequest("/a", true, List.of(whole()));

    assertTrue(ProofCounts.judge(List.of(repeatable), runs("/a", "/a")).asPromised());
  }

  @Test
  void requestRefusedAtEachAttemptThatRanIsWronglyRefused() {
    ProofCounts counts = ProofCounts.judge(List.of(request(refused(), refused())), runs("/a"));

    assertEquals(1, counts.wronglyRefused());
    assertFalse(counts.asPromised());
  }

  @Test
  void refusalOfARetryOfARequestThatMayHaveRunIsNotWrong() {
    ProofCounts counts = ProofCounts.judge(List.of(request(none(), refused())), runs("/a"));

    assertEquals(0, counts.wronglyRefused());
    assertEquals(1, counts.unknown());
  }

  @Test
  void requestWithoutAnyAnswerIsLost() {
    ProofCounts counts = ProofCounts.judge(List.of(request(none(), none())), runs("/a"));

    assertEquals(1, counts.lost());
    assertFalse(counts.asPromised());
  }

  @Test
  void wholeAnswerToARequestThatNeverRanIsLost() {
    ProofCounts counts = ProofCounts.judge(List.of(request(whole())), runs());

    assertEquals(1, counts.lost());
    assertFalse(counts.asPromised());
  }

  @Test
  void answerToAnotherRequestIsForeign() {
    ProofCounts counts =
        ProofCounts.judge(List.of(request(answered(200, "/b"), whole())), runs("/a"));

    assertEquals(1, counts.foreign());
    assertFalse(counts.asPromised());
  }

  @Test
  void proofThatTriedNothingHasNotPassed() {
    assertFalse(ProofCounts.judge(List.of(), List.of()).asPromised());
  }

  @Test
  void proofWithABreachHasNotPassed() {
    ProofCounts counts = ProofCounts.judge(List.of(request(whole())), runs("/a"));
    Evidence evidence = new Evidence();

    evidence.expect("members that run", 4L, 3L);

    ProofResult result =
        new ProofResult("p", "promise", "failure", counts, evidence.breaches(), List.of());
    assertFalse(result.passed());
  }

  private static TriedRequest request(Sent... attempts) {
    return new TriedRequest("/a", false, List.of(attempts));
  }

  private static Sent whole() {
    return answered(200, "/a");
  }

  private static Sent refused() {
    return answered(503, REFUSAL);
  }

  private static Sent none() {
    return new Sent("/a", VM, new CallerOutcome.Unanswered("closed"));
  }

  private static Sent answered(int status, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    return new Sent("/a", VM, new CallerOutcome.Answered(status, Map.of(), body, 1));
  }

  private static List<RequestRun> runs(String... paths) {
    return List.of(paths).stream()
        .map(path -> new RequestRun("executor-1", "t", "", "bench", path, 1, 2, 1))
        .toList();
  }
}
