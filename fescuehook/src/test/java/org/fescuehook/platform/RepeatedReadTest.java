package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.junit.jupiter.api.Test;

class RepeatedReadTest {

  private static final Duration WAIT = Duration.ofMillis(1000);
  private static final ReadOutcome NOTHING_NEW = new ReadOutcome.Records(List.of(), 5);
  private static final ReadOutcome FAILED = new ReadOutcome.Failed("status 503");

  private final FakeLink link = new FakeLink();
  private final ResponseTimeEstimator times = new ResponseTimeEstimator(RepeatedRead.NEVER_LATE);
  private final FakeListener listener = new FakeListener();

  private RepeatedRead begin(Duration wait) {
    return RepeatedRead.begin(link, times, wait, listener);
  }

  @Test
  void anAnswerInTimeIsTheOnlyAsk() {
    begin(WAIT);
    link.answer(0, 1004, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(List.of(NOTHING_NEW), listener.outcomes);
    assertEquals(1, link.asks.size());
    assertEquals(0, listener.late);
  }

  /** Seen: each try of a page was given up after 0.7 s, and no page ever came. */
  @Test
  void anAskThatIsLateIsNotGivenUpForThat() {
    begin(Duration.ZERO);
    link.answer(0, 3000, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(List.of(NOTHING_NEW), listener.outcomes);
  }

  @Test
  void theFirstAnswersOfASlowStoreShowThatItIsNotLate() {
    begin(Duration.ZERO);
    link.answer(0, 900, NOTHING_NEW);
    link.runUntil(900);
    int first = link.asks.size();
    begin(Duration.ZERO);
    link.answer(first, 1800, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(first + 1, link.asks.size());
    assertEquals(2, listener.outcomes.size());
  }

  /** A read that waits for a record is answered after its wait, however quick the store is. */
  @Test
  void theWaitOfAReadIsNoSlownessOfTheStore() {
    begin(WAIT);
    link.answer(0, 1004, NOTHING_NEW);
    link.runUntil(1004);
    assertEquals(RepeatedRead.NEVER_LATE, times.lateAfter());
  }

  @Test
  void aStoreThatWasSilentIsFoundBackWithinASecondAndNotWaitedForByTheNextAsk() {
    begin(WAIT);
    link.runUntil(6000);
    int before = link.asks.size();
    link.runUntil(7000);
    assertTrue(link.asks.size() > before, "asked again");
    assertEquals(Duration.ZERO, link.asks.getLast().wait);
    link.answer(before, 7004, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(List.of(NOTHING_NEW), listener.outcomes);
  }

  @Test
  void ofManyAsksWithoutAnAnswerTheFirstAndTheNewestStayUnderWay() {
    begin(WAIT);
    link.runUntil(8000);
    List<Ask> open = link.asks.stream().filter(ask -> !ask.givenUp).toList();
    assertEquals(3, open.size());
    assertTrue(open.contains(link.asks.getFirst()) && open.contains(link.asks.getLast()));
    assertEquals(link.asks.size() - 1, listener.late, "each further ask is told");
  }

  @Test
  void aSilentStoreEndsTheReadOnce() {
    begin(WAIT);
    link.runUntil(30_000);
    assertEquals(1, listener.outcomes.size());
    assertInstanceOf(ReadOutcome.Failed.class, listener.outcomes.getFirst());
  }

  @Test
  void aFailureOfTheOnlyAskEndsTheReadAtOnce() {
    begin(WAIT);
    link.answer(0, 5, FAILED);
    link.runUntil(20_000);
    assertEquals(List.of(FAILED), listener.outcomes);
    assertEquals(1, link.asks.size());
  }

  @Test
  void aFailureBesideAnotherAskIsNoOutcome() {
    begin(Duration.ZERO);
    link.runUntil(701);
    link.answer(1, 705, FAILED);
    link.answer(0, 1100, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(List.of(NOTHING_NEW), listener.outcomes);
  }

  /** A large page over a thin link takes seconds, and a second one beside it would take as long. */
  @Test
  void anAnswerThatComesSteadilyIsNotAskedForAgain() {
    begin(Duration.ZERO);
    link.hear(0, 100, 3000);
    link.answer(0, 3100, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(1, link.asks.size());
    assertEquals(List.of(NOTHING_NEW), listener.outcomes);
  }

  @Test
  void anAnswerThatStopsMidwayIsAskedForAgain() {
    begin(Duration.ZERO);
    link.hear(0, 100, 300);
    link.runUntil(2000);
    assertEquals(2, link.asks.size());
  }

  @Test
  void aReadThatWasCancelledTellsNothing() {
    RepeatedRead read = begin(WAIT);
    read.cancel();
    link.answer(0, 100, NOTHING_NEW);
    link.runUntil(20_000);
    assertEquals(List.of(), listener.outcomes);
    assertTrue(link.asks.getFirst().givenUp);
    assertFalse(listener.late > 0);
  }

  private static final class FakeListener implements RepeatedRead.Listener {
    private final List<ReadOutcome> outcomes = new ArrayList<>();
    private int late;

    @Override
    public void late(Duration time) {
      late++;
    }

    @Override
    public void ended(ReadOutcome outcome) {
      outcomes.add(outcome);
    }
  }

  private static final class Ask implements RepeatedRead.Link.Asking {
    private final FakeLink link;
    private final Duration wait;
    private final Consumer<ReadOutcome> sink;
    private final long askedAt;
    private long firstPartAt = -1;
    private long lastPartAt = -1;
    private boolean givenUp;
    private boolean over;

    Ask(FakeLink link, Duration wait, Consumer<ReadOutcome> sink) {
      this.link = link;
      this.wait = wait;
      this.sink = sink;
      this.askedAt = link.millis;
    }

    void hear() {
      firstPartAt = firstPartAt < 0 ? link.millis : firstPartAt;
      lastPartAt = link.millis;
    }

    void end(ReadOutcome outcome) {
      if (!over) {
        over = true;
        sink.accept(outcome);
      }
    }

    @Override
    public boolean heardWithin(Duration time) {
      return !over && lastPartAt >= 0 && link.millis - lastPartAt <= time.toMillis();
    }

    @Override
    public long firstPartNanos() {
      return Duration.ofMillis(firstPartAt - askedAt).toNanos();
    }

    @Override
    public void giveUp() {
      givenUp = true;
      over = true;
    }
  }

  /** A link on a virtual clock, without a store behind it. */
  private static final class FakeLink implements RepeatedRead.Link {
    private static final long PART_MILLIS = 100;

    private final List<Ask> asks = new ArrayList<>();
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private long millis;
    private long order;

    private record Timed(long at, long order, Runnable action) implements Comparable<Timed> {
      @Override
      public int compareTo(Timed other) {
        int byTime = Long.compare(at, other.at);
        return byTime == 0 ? Long.compare(order, other.order) : byTime;
      }
    }

    @Override
    public long nowNanos() {
      return Duration.ofMillis(millis).toNanos();
    }

    @Override
    public Asking ask(Duration wait, Duration limit, Consumer<ReadOutcome> sink) {
      Ask ask = new Ask(this, wait, sink);
      asks.add(ask);
      after(limit, () -> ask.end(new ReadOutcome.Failed("timeout")));
      return ask;
    }

    @Override
    public void after(Duration delay, Runnable action) {
      at(millis + delay.toMillis(), action);
    }

    void answer(int ask, long atMillis, ReadOutcome outcome) {
      at(
          atMillis,
          () -> {
            asks.get(ask).hear();
            asks.get(ask).end(outcome);
          });
    }

    /** Parts of an answer come steadily for a while. */
    void hear(int ask, long fromMillis, long untilMillis) {
      for (long at = fromMillis; at <= untilMillis; at += PART_MILLIS) {
        at(at, () -> asks.get(ask).hear());
      }
    }

    private void at(long atMillis, Runnable action) {
      order++;
      queue.add(new Timed(atMillis, order, action));
    }

    void runUntil(long until) {
      while (!queue.isEmpty() && queue.peek().at() <= until) {
        Timed next = queue.remove();
        millis = Math.max(millis, next.at());
        next.action().run();
      }
      millis = until;
    }
  }
}
