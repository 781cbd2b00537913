package org.fescuehook.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Urgent requests beside a flood of long ones, in virtual time. */
class UrgentUnderOverloadTest {
  private static final int EXECUTORS = 30;
  private static final long RUN_MILLIS = 20_000;
  private static final long LONG_MILLIS = 2_000;
  private static final long URGENT_MILLIS = 10;
  private static final long URGENT_EVERY_MILLIS = 20;
  private static final int FLOOD_IN_FLIGHT = 40;
  private static final double MOST_RATIO = 1.5;

  private record End(long atMillis, long ticket) {}

  @Test
  void urgentRequestsTakeNoLongerBesideAFloodOfLongOnes() {
    long alone = p99(urgentMillis(false));
    long flooded = p99(urgentMillis(true));
    assertEquals(URGENT_MILLIS, alone);
    assertTrue(flooded <= MOST_RATIO * alone, flooded + " ms beside a flood, alone " + alone);
  }

  private static long p99(List<Long> sorted) {
    return sorted.get(sorted.size() * 99 / 100);
  }

  /** Returns the times from arrival to answer, sorted. */
  private static List<Long> urgentMillis(boolean flood) {
    DispatchFixture fixture = DispatchFixture.ready(EXECUTORS, 1);
    PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    Map<Long, Long> urgentSince = new HashMap<>();
    List<Long> took = new ArrayList<>();
    long tickets = 0;
    int longInFlight = 0;
    for (long from = fixture.now; fixture.now < from + RUN_MILLIS; fixture.now++) {
      fixture.handle(new DispatchEvent.Tick());
      while (!ends.isEmpty() && ends.peek().atMillis <= fixture.now) {
        long ticket = ends.poll().ticket;
        if (urgentSince.containsKey(ticket)) {
          took.add(fixture.now - urgentSince.get(ticket));
        } else {
          longInFlight--;
        }
        fixture.answer(ticket);
      }
      while (flood && longInFlight < FLOOD_IN_FLIGHT) {
        longInFlight++;
        fixture.arrive(++tickets, fixture.attributes("a", false, false));
      }
      if ((fixture.now - from) % URGENT_EVERY_MILLIS == 0) {
        urgentSince.put(++tickets, fixture.now);
        fixture.arrive(tickets, fixture.attributes("b", true, false));
      }
      for (DispatchCommand.Send send : fixture.all(DispatchCommand.Send.class)) {
        long service = urgentSince.containsKey(send.ticket()) ? URGENT_MILLIS : LONG_MILLIS;
        ends.add(new End(fixture.now + service, send.ticket()));
      }
      fixture.commands.clear();
    }
    took.sort(null);
    return took;
  }
}
