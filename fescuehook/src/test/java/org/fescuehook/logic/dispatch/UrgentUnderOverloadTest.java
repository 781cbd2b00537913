package org.fescuehook.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/**
 * Checks the latency of urgent requests while long requests overload all executors, in virtual
 * time.
 */
class UrgentUnderOverloadTest {
  private static final int EXECUTORS = 30;
  private static final long TEST_MILLIS = 20_000;
  private static final long LONG_SERVICE_MILLIS = 2_000;
  private static final long URGENT_SERVICE_MILLIS = 10;
  private static final long URGENT_INTERVAL_MILLIS = 20;
  private static final int LONG_REQUESTS_IN_FLIGHT = 40;
  private static final double MAX_RATIO = 1.5;

  private record End(long atMillis, long ticket) {}

  @Test
  void urgentRequestsTakeHardlyLongerUnderOverload() {
    long alone = p99(urgentMillis(false));
    long overloaded = p99(urgentMillis(true));
    assertEquals(URGENT_SERVICE_MILLIS, alone);
    assertTrue(overloaded <= MAX_RATIO * alone, overloaded + " ms under overload, alone " + alone);
  }

  private static long p99(List<Long> sorted) {
    return sorted.get(sorted.size() * 99 / 100);
  }

  /** Returns the times from arrival to answer of the urgent requests, sorted. */
  private static List<Long> urgentMillis(boolean overload) {
    DispatchFixture fixture = DispatchFixture.ready(EXECUTORS, 1);
    PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    Map<Long, Long> urgentArrivals = new HashMap<>();
    List<Long> latencies = new ArrayList<>();
    long tickets = 0;
    int longInFlight = 0;
    for (long from = fixture.now; fixture.now < from + TEST_MILLIS; fixture.now++) {
      fixture.handle(new DispatchEvent.Tick());
      while (!ends.isEmpty() && ends.peek().atMillis <= fixture.now) {
        long ticket = ends.poll().ticket;
        if (urgentArrivals.containsKey(ticket)) {
          latencies.add(fixture.now - urgentArrivals.get(ticket));
        } else {
          longInFlight--;
        }
        fixture.answer(ticket);
      }
      while (overload && longInFlight < LONG_REQUESTS_IN_FLIGHT) {
        longInFlight++;
        fixture.arrive(++tickets, fixture.attributes("a", false, false));
      }
      if ((fixture.now - from) % URGENT_INTERVAL_MILLIS == 0) {
        urgentArrivals.put(++tickets, fixture.now);
        fixture.arrive(tickets, fixture.attributes("b", true, false));
      }
      for (DispatchCommand.Send send : fixture.all(DispatchCommand.Send.class)) {
        long service =
            urgentArrivals.containsKey(send.ticket()) ? URGENT_SERVICE_MILLIS : LONG_SERVICE_MILLIS;
        ends.add(new End(fixture.now + service, send.ticket()));
      }
      fixture.commands.clear();
    }
    latencies.sort(null);
    return latencies;
  }
}
