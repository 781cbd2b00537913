package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Checks that malformed bytes on one connection never affect another connection. */
class HostileInputProperties {
  private static FakeLog log;
  private static FakeExecutor executor;
  private static RequestPathFixture fixture;
  private static RawCaller neighbour;
  private static int asked;

  @BeforeContainer
  static void open() throws Exception {
    log = new FakeLog();
    executor = new FakeExecutor(FakeExecutor.echoing());
    fixture = new RequestPathFixture(log, 4, executor);
    neighbour = new RawCaller(fixture.address);
  }

  @AfterContainer
  static void close() throws Exception {
    neighbour.close();
    fixture.close();
    executor.close();
    log.close();
  }

  @Property(tries = 400, seed = "20261202")
  void malformedBytesDoNotAffectOtherConnections(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    byte[] bytes = hostile(random);
    asked++;
    String uri = "/requests/n" + asked;
    neighbour.send(RawCaller.request("POST", uri, RequestPathFixture.ORGANISATION, ""));
    try (RawCaller caller = new RawCaller(fixture.address)) {
      sendInPieces(caller, bytes, random);
    }
    RawCaller.Answer answer = neighbour.read();
    assertEquals("200 /n" + asked, answer.status() + " " + answer.body());
    assertEquals(0, fixture.count("fescuehook.requests.unexpected"));
  }

  /** Returns a request that is truncated, duplicated, rotated or corrupted, or random bytes. */
  private static byte[] hostile(Random random) {
    String body = "x".repeat(random.nextInt(200));
    String fields = RequestPathFixture.ORGANISATION + "Request-Id: r" + random.nextInt(5) + "\r\n";
    byte[] request =
        RawCaller.request("POST", "/requests/hostile", fields, body)
            .getBytes(StandardCharsets.UTF_8);
    switch (random.nextInt(5)) {
      case 0 -> request = Arrays.copyOf(request, random.nextInt(request.length));
      case 1 -> {
        request = Arrays.copyOf(request, request.length * 2);
        System.arraycopy(request, 0, request, request.length / 2, request.length / 2);
      }
      case 2 -> {
        for (int i = 0; i < 1 + random.nextInt(8); i++) {
          request[random.nextInt(request.length)] = (byte) random.nextInt();
        }
      }
      case 3 -> {
        int at = random.nextInt(request.length);
        byte[] turned = request.clone();
        System.arraycopy(request, at, turned, 0, request.length - at);
        System.arraycopy(request, 0, turned, request.length - at, at);
        request = turned;
      }
      default -> {
        request = new byte[1 + random.nextInt(2_000)];
        random.nextBytes(request);
      }
    }
    return request;
  }

  private static void sendInPieces(RawCaller caller, byte[] bytes, Random random) {
    try {
      for (int from = 0; from < bytes.length; ) {
        int until = Math.min(bytes.length, from + 1 + random.nextInt(400));
        caller.send(Arrays.copyOfRange(bytes, from, until));
        from = until;
      }
    } catch (IOException e) {
      // The server refused the request and closed the connection before all bytes were sent.
    }
  }
}
