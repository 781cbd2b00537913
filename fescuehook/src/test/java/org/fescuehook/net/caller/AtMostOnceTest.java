package org.fescuehook.net.caller;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Breaks the connection to an executor at each byte of a request or answer, and compares what the
 * executor ran with the answers to the callers.
 */
class AtMostOnceTest {
  private static final String BODY = "charge=42";
  private static final int MAX_POSITIONS = 1_000;

  /**
   * Closes the connection after {@code cutAt} bytes of the next request once {@code cutNext} is
   * set; serves all other requests.
   */
  private static final class RequestCutter implements FakeExecutor.Behaviour {
    final AtomicInteger cutAt = new AtomicInteger(Integer.MAX_VALUE);
    final AtomicBoolean cutNext = new AtomicBoolean();
    private final boolean reset;

    RequestCutter(boolean reset) {
      this.reset = reset;
    }

    @Override
    public void serve(FakeExecutor executor, Socket socket, InputStream in) throws IOException {
      while (true) {
        in.mark(1);
        if (in.read() < 0) {
          return;
        }
        in.reset();
        if (cutNext.compareAndSet(true, false)) {
          cut(executor, socket, in);
          return;
        }
        FakeExecutor.Request request = FakeExecutor.read(in);
        executor.journal.add(request);
        socket.getOutputStream().write(FakeExecutor.ok(request, "done"));
      }
    }

    private static byte[] readUpTo(int bytes, InputStream in) throws IOException {
      ByteArrayOutputStream read = new ByteArrayOutputStream();
      while (read.size() < bytes && !read.toString(US_ASCII).endsWith("\r\n\r\n" + BODY)) {
        read.write(in.read());
      }
      return read.toByteArray();
    }

    /** Counts the request as run only if it was read whole before the connection is closed. */
    private void cut(FakeExecutor executor, Socket socket, InputStream in) throws IOException {
      byte[] read = readUpTo(cutAt.get(), in);
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      try {
        executor.journal.add(FakeExecutor.read(new ByteArrayInputStream(read)));
      } catch (IOException e) {
        // The request is incomplete, so the executor did not run it.
      }
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void runsAtMostOnceWhenTheConnectionBreaksAtEachByteOfTheRequest(boolean reset) throws Exception {
    RequestCutter cutter = new RequestCutter(reset);
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(cutter);
        RequestPathFixture fixture = new RequestPathFixture(log, 4, executor)) {
      int at = 0;
      for (int runs = 0; runs == 0 && at < MAX_POSITIONS; at++) {
        String id = "cut-" + at;
        if (at % 2 == 0) {
          // Every second position is tested on a connection from the pool.
          fixture.post("/requests/warm", "", "");
        } else {
          executor.closeConnections();
        }
        cutter.cutAt.set(at);
        cutter.cutNext.set(true);
        RawCaller.Answer answer = fixture.post("/requests/charge", "X-Run: " + id + "\r\n", BODY);
        runs = check(executor, id, answer);
        cutter.cutNext.set(false);
        executor.journal.clear();
      }
      assertTrue(at > BODY.length() && at < MAX_POSITIONS, "cut at " + at + " positions");
    }
  }

  private static int check(FakeExecutor executor, String id, RawCaller.Answer answer) {
    long runs =
        executor.journal.stream().filter(run -> id.equals(run.headers().get("X-Run"))).count();
    assertTrue(runs <= 1, () -> id + " ran " + runs + " times");
    assertTrue(answer.whole(), () -> id + ": " + answer);
    if (answer.status() == 200) {
      assertEquals(1, runs, id);
    } else {
      boolean saysNotRun = answer.ran().equals("no");
      assertTrue(!saysNotRun || runs == 0, () -> id + " ran, but: " + answer);
    }
    return (int) runs;
  }

  @ParameterizedTest
  @ValueSource(strings = {"length", "chunked"})
  void reportsSuccessOnlyForACompleteAnswerWhenItIsBrokenOffAtEachByte(String framing)
      throws Exception {
    AtomicInteger cutAt = new AtomicInteger();
    FakeExecutor.Behaviour behaviour =
        (executor, socket, in) -> {
          in.mark(1);
          if (in.read() < 0) {
            return;
          }
          in.reset();
          FakeExecutor.Request request = FakeExecutor.read(in);
          executor.journal.add(request);
          byte[] answer = answer(request, framing);
          socket.getOutputStream().write(answer, 0, Math.min(cutAt.get(), answer.length));
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(behaviour);
        RequestPathFixture fixture = new RequestPathFixture(log, 4, executor)) {
      int at = 0;
      boolean complete = false;
      for (; !complete && at < MAX_POSITIONS; at++) {
        cutAt.set(at);
        RawCaller.Answer answer = fixture.post("/requests/charge", "", BODY);
        assertEquals(1, executor.journal.size());
        int length = answer(executor.journal.getFirst(), framing).length;
        complete = answer.status() == 200 && answer.whole();
        assertEquals(at >= length, complete, at + " of " + length + ": " + answer);
        if (complete) {
          assertEquals("paid 42", answer.body());
        } else if (answer.whole()) {
          assertEquals("unknown", answer.ran());
        }
        executor.journal.clear();
      }
      assertTrue(complete, "the positions reach the end of the answer");
    }
  }

  /** Breaks off the first answer three bytes before its end; all later answers are complete. */
  private static FakeExecutor.Behaviour breakingOffTheFirstAnswer() {
    return (executor, socket, in) -> {
      FakeExecutor.Request request = FakeExecutor.read(in);
      executor.journal.add(request);
      byte[] answer = answer(request, "length");
      int length = executor.journal.size() == 1 ? answer.length - 3 : answer.length;
      socket.getOutputStream().write(answer, 0, length);
    };
  }

  /**
   * Guards against forwarding the head of an answer that the executor then breaks off: the caller
   * would get a closed connection instead of a whole answer.
   */
  @Test
  void anAnswerBrokenOffByTheExecutorIsReportedAsUnknown() throws Exception {
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(breakingOffTheFirstAnswer());
        RequestPathFixture fixture = new RequestPathFixture(log, 4, executor)) {
      RawCaller.Answer answer = fixture.post("/requests/charge", "", BODY);

      assertTrue(answer.whole(), answer::toString);
      assertEquals("unknown", answer.ran());
      assertEquals(1, executor.journal.size());
    }
  }

  @Test
  void aRepeatableRequestIsRetriedWhenItsAnswerIsBrokenOff() throws Exception {
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(breakingOffTheFirstAnswer());
        RequestPathFixture fixture = new RequestPathFixture(log, 4, executor)) {
      RawCaller.Answer answer = fixture.post("/requests/price", "Repeatable: true\r\n", BODY);

      assertEquals(200, answer.status());
      assertEquals("paid 42", answer.body());
      assertEquals(2, executor.journal.size());
    }
  }

  private static byte[] answer(FakeExecutor.Request request, String framing) {
    if (framing.equals("length")) {
      return FakeExecutor.ok(request, "paid 42");
    }
    String text =
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nRequest-Token: "
            + request.token()
            + "\r\n\r\n5\r\npaid \r\n2\r\n42\r\n0\r\n\r\n";
    return text.getBytes(US_ASCII);
  }

  @Test
  void runsARequestIdOnceWhenSentThroughTwoVmsConcurrentlyAndAppendRepliesAreLost()
      throws Exception {
    for (FakeLog.Fault fault : List.of(FakeLog.Fault.NONE, FakeLog.Fault.LOSING_REPLIES)) {
      runsIdsOnceThroughTwoVms(fault);
    }
  }

  private static void runsIdsOnceThroughTwoVms(FakeLog.Fault fault) throws Exception {
    Map<String, RequestPath> paths = new ConcurrentHashMap<>();
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(AtMostOnceTest::receipt));
        RequestPathFixture one = peer("vm-1", log, paths, executor);
        RequestPathFixture two = peer("vm-2", log, paths, executor)) {
      log.fail(fault);
      Map<String, String> receipts = new ConcurrentHashMap<>();
      List<Throwable> faults = new java.util.concurrent.CopyOnWriteArrayList<>();
      Concurrently.run(
          80,
          8,
          i -> {
            String id = "sale-" + i / 4;
            RequestPathFixture fixture = i % 2 == 0 ? one : two;
            RawCaller.Answer answer =
                fixture.post("/requests/sell", "Request-Id: " + id + "\r\n", id);
            assertEquals(200, answer.status(), answer::body);
            String first = receipts.putIfAbsent(id, answer.body());
            assertTrue(first == null || first.equals(answer.body()), "two receipts for " + id);
          },
          faults);
      assertEquals(List.of(), faults);
      assertEquals(20, executor.journal.size(), "runs with " + fault);
    }
  }

  private static byte[] receipt(FakeExecutor.Request request) {
    return FakeExecutor.ok(request, "receipt " + request.token());
  }

  private static RequestPathFixture peer(
      String vm, FakeLog log, Map<String, RequestPath> paths, FakeExecutor... executors)
      throws Exception {
    RequestPathFixture fixture =
        new RequestPathFixture(
            vm,
            RequestPathFixture.PREFERENCES,
            log,
            (claimant, key, sink) ->
                sink.accept(
                    java.util.Optional.ofNullable(paths.get(claimant.value()))
                        .flatMap(path -> path.outcome(key))),
            RequestPathFixture.NO_CONTROL,
            List.of(executors),
            4);
    paths.put(vm, fixture.path);
    return fixture;
  }

  @Test
  void reportsUnknownWhenTheVmThatClaimedTheRequestIsGone() throws Exception {
    Map<String, RequestPath> paths = new ConcurrentHashMap<>();
    java.util.concurrent.CountDownLatch received = new java.util.concurrent.CountDownLatch(1);
    java.util.concurrent.CountDownLatch never = new java.util.concurrent.CountDownLatch(1);
    FakeExecutor.Answering hanging =
        request -> {
          received.countDown();
          never.await();
          return FakeExecutor.ok(request, "late");
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(hanging));
        RequestPathFixture two = peer("vm-2", log, paths, executor)) {
      RequestPathFixture one = peer("vm-1", log, paths, executor);
      try (RawCaller caller = new RawCaller(one.address)) {
        caller.send(
            RawCaller.request(
                "POST",
                "/requests/sell",
                RequestPathFixture.ORGANISATION + "Request-Id: s\r\n",
                "s"));
        received.await();
        paths.remove("vm-1");
        one.close();
      }
      RawCaller.Answer answer = two.post("/requests/sell", "Request-Id: s\r\n", "s");
      assertEquals("outcome-unknown unknown", answer.reason() + " " + answer.ran());
      assertEquals(1, executor.journal.size());
      never.countDown();
    }
  }

  @Test
  void refusesRequestIdsAsNotRunWhenTheLogRefusesTheClaim() throws Exception {
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.echoing());
        RequestPathFixture fixture = new RequestPathFixture(log, 4, executor)) {
      log.fail(FakeLog.Fault.REFUSING);
      RawCaller.Answer answer = fixture.post("/requests/sell", "Request-Id: s\r\n", "s");
      assertEquals("log-unavailable no", answer.reason() + " " + answer.ran());
      assertTrue(answer.headers().containsKey("Retry-After"));
      assertEquals(200, fixture.post("/requests/plain", "", "").status());
      assertEquals(List.of("/plain"), executor.journal.stream().map(r -> r.uri()).toList());
    }
  }
}
