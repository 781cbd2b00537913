package org.fescuehook.standins.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.standins.StandInClient;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.StandInLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogStandInTest {
  private static final String RECORDS = "/streams/control/records";

  private final AtomicLong clock = new AtomicLong(1000);
  private final StandInLoops loops = new StandInLoops();
  private LogStandIn log;
  private StandInClient client;

  @BeforeEach
  void start() throws StandInException {
    log = new LogStandIn(loops.group(), loops.anyPort(), clock::get);
    client = new StandInClient(log.address());
  }

  @AfterEach
  void stop() {
    client.close();
    log.close();
    loops.close();
  }

  @Test
  void anAppendWhoseResponseIsLostTakesEffect() throws Exception {
    log.apply(new LogFaults(false, false, 0, 1, 0, 0, 0));

    assertThrows(IOException.class, () -> client.post(RECORDS, "lost"));

    assertEquals(
        "{\"earliest\":0,\"next\":1,\"records\":"
            + "[{\"offset\":0,\"appended\":1000,\"data\":\"bG9zdA==\"}]}",
        client.get(RECORDS + "?from=0").body());
    assertEquals("{\"offset\":1}", client.post(RECORDS, "kept").body());
  }

  @Test
  void aReadStartsAtTheEarliestRecordThatRetentionKeeps() throws Exception {
    client.post(RECORDS, "a");
    clock.set(1500);
    client.post(RECORDS, "b");
    log.apply(new LogFaults(false, false, 0, 0, 0, 300, 0));
    clock.set(1700);

    String page = client.get(RECORDS + "?from=0").body();

    assertEquals(
        "{\"earliest\":1,\"next\":2,\"records\":"
            + "[{\"offset\":1,\"appended\":1500,\"data\":\"Yg==\"}]}",
        page);
  }

  @Test
  void theFirstAppendCompletesAWaitingRead() throws Exception {
    var waiting = client.getLater(RECORDS + "?from=0&wait-ms=3600000");

    StandInLoops.await(() -> log.stats().reads() != 0);
    client.post(RECORDS, "a");

    assertEquals(200, waiting.orTimeout(20, TimeUnit.SECONDS).join().statusCode());
  }

  @Test
  void anOutageRejectsAppendsAndKeepsEarlierRecords() throws Exception {
    client.post(RECORDS, "a");
    log.apply(new LogFaults(true, false, 0, 0, 0, 0, 0));
    assertEquals(503, client.post(RECORDS, "b").statusCode());
    log.apply(LogFaults.NONE);

    assertEquals("{\"offset\":1}", client.post(RECORDS, "c").body());
  }
}
