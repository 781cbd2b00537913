package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerEdgeTest {
  private static final String HEAD =
      "POST /requests/x HTTP/1.1\r\nHost: x\r\nOrganisation: alpha\r\n";
  private static final String SMUGGLED =
      "GET /requests/smuggled HTTP/1.1\r\nHost: x\r\nOrganisation: alpha\r\n\r\n";

  private FakeLog log;
  private FakeExecutor executor;
  private RequestPathFixture fixture;

  @BeforeEach
  void open() throws Exception {
    log = new FakeLog();
    executor = new FakeExecutor(FakeExecutor.echoing());
    fixture = new RequestPathFixture(log, 2, executor);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
    executor.close();
    log.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n\r\n",
        "Content-Length: 4, 5\r\n\r\n",
        "Content-Length: +4\r\n\r\n",
        "Content-Length: -4\r\n\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        "Expect: something-else\r\n\r\n",
        "Host: y\r\n\r\n",
        "Bad Name: 1\r\n\r\n",
        "No-Colon\r\n\r\n",
      })
  void refusesAmbiguousFramingThatAllowsRequestSmuggling(String rest) throws Exception {
    try (RawCaller caller = new RawCaller(fixture.address)) {
      caller.send(HEAD + rest + SMUGGLED);
      RawCaller.Answer answer = caller.read();
      assertEquals(
          "400 bad-request no", answer.status() + " " + answer.reason() + " " + answer.ran());
      assertTrue(caller.closedByPeer());
    }
    assertEquals(200, fixture.get("/requests/neighbour", "").status());
    assertEquals(List.of("/neighbour"), executor.journal.stream().map(r -> r.uri()).toList());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /requests/x HTTP/1.0\r\nHost: x\r\n\r\n",
        "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET http://x/requests/x HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /requests/x HTTP/1.1\r\n\r\n",
        "GARBAGE\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\n",
      })
  void refusesUnsupportedOrMalformedRequestHeads(String request) throws Exception {
    try (RawCaller caller = new RawCaller(fixture.address)) {
      caller.send(request);
      assertEquals(400, caller.read().status());
      assertTrue(caller.closedByPeer());
    }
  }

  @Test
  void refusesHeadersAndBodiesBeyondTheirBounds() throws Exception {
    String large = "a".repeat(RequestPathFixture.PREFERENCES.maxHeaderBytes());
    String tooLong =
        "Content-Length: " + (RequestPathFixture.PREFERENCES.maxBodyBytes() + 1) + "\r\n\r\n";
    String chunks =
        "Transfer-Encoding: chunked\r\n\r\n" + ("4000\r\n" + "b".repeat(0x4000) + "\r\n").repeat(5);
    for (String rest : List.of("X: " + large + "\r\n\r\n", tooLong, chunks)) {
      try (RawCaller caller = new RawCaller(fixture.address)) {
        caller.send(HEAD + rest);
        assertEquals("413 too-large no", describe(caller.read()));
      }
    }
    assertEquals(List.of(), executor.journal);
  }

  private static String describe(RawCaller.Answer answer) {
    return answer.status() + " " + answer.reason() + " " + answer.ran();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Request-Timeout-Ms: soon\r\n",
        "Request-Timeout-Ms: 0\r\n",
        "Request-Timeout-Ms: 99999999\r\n",
        "Repeatable: perhaps\r\n",
        "Urgent: 1\r\n",
        "Request-Id: \r\n",
        "Request-Id: a\r\nRequest-Id: b\r\n",
      })
  void refusesInvalidHeaderValues(String fields) throws Exception {
    assertEquals("400 bad-request no", describe(fixture.get("/requests/x", fields)));
  }

  @Test
  void reportsTheReasonForUnknownPathsAndOrganisations() throws Exception {
    assertEquals("404 not-found no", describe(fixture.get("/elsewhere", "")));
    RawCaller.Answer answer =
        RawCaller.call(fixture.address, "GET", "/requests/x", "Organisation: nobody\r\n", "");
    assertEquals("403 unknown-organisation no", describe(answer));
    assertEquals("application/problem+json", answer.headers().get("Content-Type"));
    assertEquals(1, fixture.refused(RefusalReason.UNKNOWN_ORGANISATION));
  }

  @Test
  void refusesAHeadRequestWithoutABody() throws Exception {
    try (RawCaller caller = new RawCaller(fixture.address)) {
      for (int i = 0; i < 3; i++) {
        caller.send(RawCaller.request("HEAD", "/requests/x", "Organisation: nobody\r\n", ""));
        assertEquals(403, caller.readHead().status());
      }
    }
  }

  @Test
  void answersPipelinedRequestsInOrder() throws Exception {
    try (RawCaller caller = new RawCaller(fixture.address)) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 30; i++) {
        all.append(
            RawCaller.request("POST", "/requests/p" + i, RequestPathFixture.ORGANISATION, "b" + i));
      }
      caller.send(all.toString());
      for (int i = 0; i < 30; i++) {
        assertEquals("/p" + i, caller.read().body());
      }
    }
  }

  @Test
  @SuppressWarnings("try") // the leaving caller is closed before the end of the try block
  void doesNotDispatchAWaitingRequestWhoseCallerLeft() throws Exception {
    CountDownLatch free = new CountDownLatch(1);
    executor.behave(
        FakeExecutor.answering(
            request -> {
              if (request.uri().startsWith("/busy")) {
                free.await();
              }
              return FakeExecutor.ok(request, request.uri());
            }));
    try (RawCaller busy = new RawCaller(fixture.address);
        RawCaller alsoBusy = new RawCaller(fixture.address);
        RawCaller leaving = new RawCaller(fixture.address)) {
      busy.send(RawCaller.request("POST", "/requests/busy1", RequestPathFixture.ORGANISATION, ""));
      alsoBusy.send(
          RawCaller.request("POST", "/requests/busy2", RequestPathFixture.ORGANISATION, ""));
      Await.until(() -> executor.journal.size() == 2);
      leaving.send(
          RawCaller.request("POST", "/requests/left", RequestPathFixture.ORGANISATION, ""));
      Await.until(() -> fixture.path.inFlight() == 3);
      leaving.close();
      Await.until(() -> fixture.path.inFlight() == 2);
      free.countDown();
      assertEquals("/busy1", busy.read().body());
      assertEquals("/busy2", alsoBusy.read().body());
    }
    assertEquals(200, fixture.get("/requests/after", "").status());
    assertFalse(executor.journal.stream().anyMatch(request -> request.uri().equals("/left")));
  }

  @Test
  void refusesASlowSenderAndKeepsServingOthers() throws Exception {
    RequestPreferences p = RequestPathFixture.PREFERENCES;
    RequestPreferences shortTimeouts =
        new RequestPreferences(
            p.defaultTimeout(),
            p.maxTimeout(),
            p.maxBodyBytes(),
            p.maxHeaderBytes(),
            3,
            p.queueLength(),
            p.retryBudget(),
            p.maxTries(),
            Duration.ofMillis(100),
            Duration.ofMillis(400),
            p.probeInterval(),
            p.claimWindow());
    try (RequestPathFixture other =
            new RequestPathFixture(
                "vm-2",
                shortTimeouts,
                log,
                RequestPathFixture.NO_PEERS,
                RequestPathFixture.NO_CONTROL,
                List.of(executor),
                2);
        RawCaller head = new RawCaller(other.address);
        RawCaller body = new RawCaller(other.address)) {
      head.send("POST /requests/x HTT");
      body.send(HEAD + "Content-Length: 10\r\n\r\nhalf");
      assertEquals(200, other.get("/requests/neighbour", "").status());
      for (RawCaller slow : List.of(head, body)) {
        assertEquals("400 bad-request no", describe(slow.read()));
        assertTrue(slow.closedByPeer());
      }
      refusesConnectionsBeyondTheBoundAndClosesIdleOnes(other);
    }
  }

  private static void refusesConnectionsBeyondTheBoundAndClosesIdleOnes(RequestPathFixture other)
      throws IOException {
    Await.until(() -> other.metrics.get("fescuehook.callers.connections").gauge().value() == 0);
    try (RawCaller one = new RawCaller(other.address);
        RawCaller two = new RawCaller(other.address);
        RawCaller three = new RawCaller(other.address);
        RawCaller beyond = new RawCaller(other.address)) {
      assertTrue(beyond.closedByPeer());
      assertTrue(other.refused(RefusalReason.QUEUE_FULL) >= 1);
      for (RawCaller idle : List.of(one, two, three)) {
        assertTrue(idle.closedByPeer());
      }
    }
  }
}
