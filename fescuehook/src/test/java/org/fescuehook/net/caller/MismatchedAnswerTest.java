package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class MismatchedAnswerTest {

  @Test
  void neverForwardsAnAnswerWithAnotherToken() throws Exception {
    AtomicInteger asked = new AtomicInteger();
    FakeExecutor.Answering crossed =
        request ->
            asked.incrementAndGet() % 2 == 1
                ? FakeExecutor.answer(200, "another", "", "another's")
                : FakeExecutor.ok(request, request.uri());
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(crossed));
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor)) {
      RawCaller.Answer first = fixture.get("/requests/first", "");
      RawCaller.Answer second = fixture.get("/requests/second", "");

      assertEquals(
          "502 bad-answer unknown", first.status() + " " + first.reason() + " " + first.ran());
      assertEquals("200 /second", second.status() + " " + second.body());
      assertEquals(2, executor.connections.get(), "the first connection is not used again");
    }
  }

  @Test
  void neverForwardsAnAnswerThatArrivesAfterItsRequestTimedOut() throws Exception {
    CountDownLatch givenUp = new CountDownLatch(1);
    FakeExecutor.Answering late =
        request -> {
          if (request.uri().equals("/slow")) {
            givenUp.await();
          }
          return FakeExecutor.ok(request, request.uri());
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(late));
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor)) {
      RawCaller.Answer slow = fixture.get("/requests/slow", "Request-Timeout-Ms: 150\r\n");
      assertEquals("deadline-after-dispatch unknown", slow.reason() + " " + slow.ran());
      // The executor still holds the first connection, so the next request needs a second one.
      assertEquals("/while-late", fixture.get("/requests/while-late", "").body());
      givenUp.countDown();
      for (int i = 0; i < 20; i++) {
        assertEquals("/next-" + i, fixture.get("/requests/next-" + i, "").body());
      }
    }
  }

  @Test
  void closesAConnectionThatReceivedADuplicateAnswer() throws Exception {
    FakeExecutor.Answering twice =
        request -> {
          byte[] answer = FakeExecutor.ok(request, request.uri());
          byte[] both = java.util.Arrays.copyOf(answer, answer.length * 2);
          System.arraycopy(answer, 0, both, answer.length, answer.length);
          return both;
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(twice));
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor)) {
      for (int i = 0; i < 20; i++) {
        RawCaller.Answer answer = fixture.get("/requests/n" + i, "Repeatable: true\r\n");
        assertEquals("/n" + i, answer.body());
      }
      assertTrue(fixture.count("fescuehook.executors.late.answers") > 0);
      assertTrue(executor.connections.get() >= 20, "no connection is used again");
    }
  }

  @Test
  void refusesAnAnswerDelimitedOnlyByTheEndOfTheConnection() throws Exception {
    FakeExecutor.Behaviour unframed =
        (executor, socket, in) -> {
          FakeExecutor.Request request = FakeExecutor.read(in);
          String answer = "HTTP/1.1 200 X\r\nRequest-Token: " + request.token() + "\r\n\r\npartial";
          socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(unframed);
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor)) {
      assertEquals("bad-answer", fixture.get("/requests/x", "").reason());
    }
  }

  @Test
  void answersAHeadRequestWithoutABody() throws Exception {
    FakeExecutor.Answering head =
        request ->
            ("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nRequest-Token: "
                    + request.token()
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(FakeExecutor.answering(head));
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor);
        RawCaller caller = new RawCaller(fixture.address)) {
      for (int i = 0; i < 3; i++) {
        caller.send(RawCaller.request("HEAD", "/requests/x", RequestPathFixture.ORGANISATION, ""));
        RawCaller.Answer answer = caller.readHead();
        assertEquals(200, answer.status());
      }
    }
  }
}
