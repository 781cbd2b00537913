package org.fescuehook.logic.batch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class RepeatedAppendTest {

  private static final AppendOutcome STORED = new AppendOutcome.Stored(7);
  private static final AppendOutcome REFUSED = new AppendOutcome.Refused("status 503");
  private static final AppendOutcome LOST = new AppendOutcome.Unanswered("timeout");

  private final FakeLink link = new FakeLink();
  private final ResponseTimeEstimator times = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE);
  private final List<AppendOutcome> outcomes = new ArrayList<>();

  private void begin() {
    RepeatedAppend.begin(link, times, 100, outcomes::add);
  }

  @Test
  void appendAnsweredInTimeIsSentOnce() {
    begin();
    link.answer(0, 4, STORED);
    link.runUntil(2000);
    assertEquals(List.of(STORED), outcomes);
    assertEquals(1, link.sends.size());
  }

  @Test
  void appendIsSentAgainAfterALostAnswerAndTheFirstAnswerCounts() {
    begin();
    link.runUntil(59);
    assertEquals(1, link.sends.size());
    link.runUntil(61);
    link.answer(1, 65, STORED);
    link.answer(0, 240, STORED);
    link.runUntil(2000);
    assertEquals(List.of(STORED), outcomes);
    assertEquals(2, link.sends.size());
    assertTrue(link.sends.get(0).givenUp, "the connection without an answer is given up");
  }

  @Test
  void slowStoreIsNotSentRepeatsOfTheNextAppend() {
    begin();
    link.answer(0, 240, STORED);
    link.runUntil(240);
    int first = link.sends.size();
    assertTrue(first <= 4, () -> first + " sends");
    begin();
    link.answer(first, 480, STORED);
    link.runUntil(2000);
    assertEquals(first + 1, link.sends.size());
    assertEquals(List.of(STORED, STORED), outcomes);
  }

  @Test
  void silentStoreIsSentAtMostTwelveRepeatsInTheFirstSecondAndThenFewer() {
    link.freeConnections = 100;
    begin();
    link.runUntil(1000);
    int first = link.sends.size();
    assertTrue(first <= 12, () -> first + " sends in the first second");
    link.runUntil(9000);
    int later = link.sends.size() - first;
    assertTrue(later <= 8 * 12 / 4, () -> later + " sends in the next eight seconds");
    link.runUntil(30_000);
    assertInstanceOf(AppendOutcome.Unanswered.class, outcomes.getFirst());
    assertEquals(1, outcomes.size());
    assertEquals(10_000, link.endedAt(), 1);
  }

  /**
   * Guards against giving up sends before a slow store can answer: when it took 1.8 s and sends
   * were given up after 1 s, the writer never learned that an append was stored.
   */
  @Test
  void lateSendIsNotGivenUp() {
    begin();
    link.answer(0, 4000, STORED);
    link.runUntil(5000);
    assertEquals(List.of(STORED), outcomes);
  }

  @Test
  void appendIsRepeatedWithinHalfASecondOnceTheStoreAnswersAgain() {
    link.freeConnections = 100;
    begin();
    link.runUntil(5000);
    int before = link.sends.size();
    link.runUntil(5500);
    assertTrue(link.sends.size() > before, "sent again");
    link.answer(before, 5504, STORED);
    link.runUntil(6000);
    assertEquals(List.of(STORED), outcomes);
  }

  /**
   * Guards against an outage being taken for a slow response: a store that was silent answers the
   * first send once it is back, and a lost answer must be noticed as early as before.
   */
  @Test
  void lostAnswerAfterAnOutageIsNotTakenForASlowOne() {
    link.freeConnections = 100;
    begin();
    link.answer(0, 4, STORED);
    link.runUntil(100);
    begin();
    link.answer(1, 8100, STORED);
    link.runUntil(8500);
    int before = link.sends.size();
    begin();
    link.runUntil(9500);
    int sent = link.sends.size() - before;
    assertTrue(sent > 1, () -> "sent " + sent + " times in a second without an answer");
  }

  @Test
  void firstAndNewestOfManyUnansweredSendsStayInFlight() {
    link.freeConnections = 100;
    begin();
    link.runUntil(9000);
    long open = link.sends.stream().filter(send -> !send.givenUp).count();
    assertEquals(6, open);
    assertTrue(!link.sends.getFirst().givenUp && !link.sends.getLast().givenUp);
  }

  /** Guards against reporting an append as refused that an unanswered send may have stored. */
  @Test
  void refusalOfALaterSendLeavesAnEarlierUnansweredOneUndecided() {
    begin();
    link.runUntil(61);
    link.answer(1, 65, REFUSED);
    link.answer(0, 70, LOST);
    link.runUntil(100);
    assertInstanceOf(AppendOutcome.Unanswered.class, outcomes.getFirst());
  }

  @Test
  void refusalAfterALostAnswerLeavesTheAppendUndecided() {
    begin();
    link.runUntil(61);
    link.answer(0, 65, LOST);
    link.answer(1, 70, REFUSED);
    link.runUntil(100);
    assertInstanceOf(AppendOutcome.Unanswered.class, outcomes.getFirst());
  }

  /**
   * Guards against reporting a stored append as rejected: its answer was lost, another VM took over
   * and the repeat was rejected. The caller was told that its job was not accepted, and the next
   * owner ran it.
   */
  @Test
  void rejectionOfALaterSendLeavesAnEarlierUnansweredOneUndecided() {
    begin();
    link.runUntil(61);
    link.answer(1, 65, new AppendOutcome.Fenced());
    link.runUntil(100);
    assertInstanceOf(AppendOutcome.Unanswered.class, outcomes.getFirst());
  }

  @Test
  void rejectionOfTheOnlySendIsTheOutcome() {
    begin();
    link.answer(0, 4, new AppendOutcome.Fenced());
    link.runUntil(100);
    assertEquals(List.of(new AppendOutcome.Fenced()), outcomes);
  }

  @Test
  void rejectionAfterARefusalIsTheOutcome() {
    begin();
    link.runUntil(61);
    link.answer(0, 63, REFUSED);
    link.answer(1, 65, new AppendOutcome.Fenced());
    link.runUntil(100);
    assertEquals(List.of(new AppendOutcome.Fenced()), outcomes);
  }

  @Test
  void refusalOfAllSendsIsTheOutcomeAtOnce() {
    begin();
    link.answer(0, 3, REFUSED);
    link.runUntil(2000);
    assertEquals(List.of(REFUSED), outcomes);
    assertEquals(1, link.sends.size());
  }

  @Test
  void appendIsRefusedWithoutAFreeConnection() {
    link.freeConnections = 0;
    begin();
    link.runUntil(2000);
    assertInstanceOf(AppendOutcome.Refused.class, outcomes.getFirst());
  }

  /** Transferring a large append over a slow link takes longer than an answer usually does. */
  @Test
  void largeAppendIsAllowedItsTransferTime() {
    RepeatedAppend.begin(link, times, 875_000, outcomes::add);
    link.runUntil(1000);
    assertEquals(1, link.sends.size());
    link.answer(0, 1900, STORED);
    link.runUntil(3000);
    assertEquals(List.of(STORED), outcomes);
  }

  /** A link with a virtual clock, whose answers the test provides. */
  private static final class FakeLink implements RepeatedAppend.Link {
    private final List<Send> sends = new ArrayList<>();
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private int freeConnections = 20;
    private long millis;
    private long order;

    private record Timed(long at, long order, Runnable action) implements Comparable<Timed> {
      @Override
      public int compareTo(Timed other) {
        int byTime = Long.compare(at, other.at);
        return byTime == 0 ? Long.compare(order, other.order) : byTime;
      }
    }

    private static final class Send implements Sending {
      private final Consumer<AppendOutcome> sink;
      private boolean givenUp;
      private long endedAt;

      Send(Consumer<AppendOutcome> sink) {
        this.sink = sink;
      }

      @Override
      public void giveUp() {
        givenUp = true;
      }
    }

    @Override
    public long nowNanos() {
      return Duration.ofMillis(millis).toNanos();
    }

    @Override
    public Optional<Sending> send(Duration limit, Consumer<AppendOutcome> sink) {
      if (sends.size() >= freeConnections) {
        return Optional.empty();
      }
      Send send = new Send(sink);
      sends.add(send);
      after(limit, () -> end(send, LOST));
      return Optional.of(send);
    }

    private void end(Send send, AppendOutcome outcome) {
      if (send.endedAt == 0) {
        send.endedAt = millis;
        send.sink.accept(outcome);
      }
    }

    @Override
    public void after(Duration delay, Runnable action) {
      at(millis + delay.toMillis(), action);
    }

    void answer(int send, long atMillis, AppendOutcome outcome) {
      at(atMillis, () -> end(sends.get(send), outcome));
    }

    private void at(long atMillis, Runnable action) {
      order++;
      queue.add(new Timed(atMillis, order, action));
    }

    long endedAt() {
      return sends.getFirst().endedAt;
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
