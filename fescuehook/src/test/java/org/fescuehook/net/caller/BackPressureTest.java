package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class BackPressureTest {
  private static final int BLOCK_BYTES = 64 << 10;
  private static final int BLOCKS = 1024;
  private static final long MAX_READ_AHEAD_BYTES = 24L << 20;

  @Test
  void pausesReadingFromAFastExecutorForASlowCaller() throws Exception {
    AtomicLong written = new AtomicLong();
    FakeExecutor.Behaviour large =
        (executor, socket, in) -> {
          FakeExecutor.Request request = FakeExecutor.read(in);
          String head =
              "HTTP/1.1 200 X\r\nContent-Length: "
                  + (long) BLOCK_BYTES * BLOCKS
                  + "\r\nRequest-Token: "
                  + request.token()
                  + "\r\n\r\n";
          socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
          for (int i = 0; i < BLOCKS; i++) {
            socket.getOutputStream().write(new byte[BLOCK_BYTES]);
            written.addAndGet(BLOCK_BYTES);
          }
        };
    try (FakeLog log = new FakeLog();
        FakeExecutor executor = new FakeExecutor(large);
        RequestPathFixture fixture = new RequestPathFixture(log, 1, executor);
        RawCaller caller = new RawCaller(fixture.address)) {
      caller.send(RawCaller.request("GET", "/requests/x", RequestPathFixture.ORGANISATION, ""));
      awaitNoProgress(written);
      // The sockets' buffers on both sides hold far less than the answer's 64 MiB.
      assertTrue(written.get() < MAX_READ_AHEAD_BYTES, "read ahead: " + written.get());

      RawCaller.Answer answer = caller.read();
      assertEquals("200 true", answer.status() + " " + answer.whole());
      assertEquals(BLOCK_BYTES * BLOCKS, answer.body().length());
    }
  }

  /** Waits until the executor has written something and 200 checks in a row see no progress. */
  private static void awaitNoProgress(AtomicLong written) {
    long[] last = {0, 0};
    Await.until(
        () -> {
          long now = written.get();
          last[1] = now > 0 && now == last[0] ? last[1] + 1 : 0;
          last[0] = now;
          return last[1] >= 200;
        });
  }
}
