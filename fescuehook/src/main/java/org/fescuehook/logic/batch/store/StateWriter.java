package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchTurn;

/**
 * Group commit: what changes while an append is under way goes out together with the next. A change
 * is encoded when it is sent, so several changes of one key cost one record.
 *
 * <p>While the store answers in time one append is under way. If it takes long, further ones go out
 * beside, so that a change waits for the store once and not for the append before it as well. The
 * store takes the sequences of an epoch in their order only: that one is stored means that all
 * before it are, and one that came before its turn has done nothing.
 */
public final class StateWriter {

  /** Pause before an append is repeated; some tens of the store's usual 4 ms. */
  private static final long RETRY_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * How long the store may be in trouble before it counts as away, if it was quick before. Callers
   * wait about 3 s, and half of that leaves them time to ask again.
   */
  private static final long LEAST_PATIENCE_NANOS = Duration.ofMillis(700).toNanos();

  /** Appends under way at most: the store works on one and sends the answer to the other. */
  private static final int MOST_UNDER_WAY = 2;

  /** Part of an append's time after which the next goes out beside it. */
  private static final int BESIDE_PART = 4;

  /** Age of the newest append from which the next goes out beside it; ten of the usual 4 ms. */
  private static final long BESIDE_NANOS = Duration.ofMillis(40).toNanos();

  /** Most bytes of one append; half of what the store takes, since values are measured alone. */
  private static final int MAX_APPEND_BYTES = 1 << 20;

  private final long epoch;
  private final Map<String, PendingChange> waiting = new LinkedHashMap<>();

  /** Appends that are not known as stored, in the order of their sequences. */
  private final Deque<Sent> sent = new ArrayDeque<>();

  private long nextSequence;
  private final SlidingWindowMaximum appends = new SlidingWindowMaximum();
  private long otherStreamNanos;
  private long lastTookNanos;
  private long pausedUntil;
  private OptionalLong troubleSince = OptionalLong.empty();
  private OptionalLong storedAt = OptionalLong.empty();
  private OptionalLong committedAt = OptionalLong.empty();

  /** Creates a writer of an epoch that has not appended anything; time is that of the turn. */
  public StateWriter(long epoch, BatchTurn turn) {
    this.epoch = epoch;
    this.pausedUntil = turn.nowNanos();
  }

  /**
   * Stores the newest value of a key with the next append.
   *
   * @param encoder gives the value when the append is made up; absent deletes the key
   * @param committed called once the value, or a newer one of the key, is stored
   */
  public void put(String key, Supplier<Optional<byte[]>> encoder, Runnable committed) {
    PendingChange change = waiting.computeIfAbsent(key, name -> new PendingChange());
    change.encoder = encoder;
    change.committed.add(committed);
  }

  /**
   * Stores a new key; the change is given up if the store does not take it in time.
   *
   * @param lost called once if the change is given up
   */
  public void putRefusable(
      String key,
      Supplier<Optional<byte[]>> encoder,
      Runnable committed,
      Consumer<CommitLoss> lost,
      BatchTurn turn) {
    put(key, encoder, committed);
    PendingChange change = waiting.get(key);
    change.lost = Optional.of(lost);
    change.since = turn.nowNanos();
  }

  /**
   * Calls back once the newest value of a key is stored: at once if none waits and none is on its
   * way. What is known in memory alone is lost with this owner, so nothing may be confirmed by it.
   */
  public void whenStored(String key, Runnable committed) {
    Optional<PendingChange> pending = newestChange(key);
    if (pending.isEmpty()) {
      committed.run();
      return;
    }
    pending.get().committed.add(committed);
  }

  private Optional<PendingChange> newestChange(String key) {
    if (waiting.containsKey(key)) {
      return Optional.of(waiting.get(key));
    }
    Iterator<Sent> newestFirst = sent.descendingIterator();
    while (newestFirst.hasNext()) {
      PendingChange change = newestFirst.next().changes.get(key);
      if (change != null) {
        return Optional.of(change);
      }
    }
    return Optional.empty();
  }

  /** Sends what waits if its turn has come, or repeats the oldest append when it is time. */
  public void flush(BatchTurn turn) {
    if (turn.nowNanos() - pausedUntil < 0) {
      return;
    }
    if (!sent.isEmpty() && !sent.getFirst().underWay.present(turn)) {
      repeat(sent.getFirst(), turn);
      return;
    }
    if (!waiting.isEmpty() && (sent.isEmpty() || mayGoBeside(turn))) {
      sendNext(turn);
    }
  }

  /**
   * Tells whether an append may go out beside those under way. Not before one of the epoch is
   * stored, as an epoch may begin at any sequence, and not after one that has to be repeated.
   */
  private boolean mayGoBeside(BatchTurn turn) {
    boolean steady = storedAt.isPresent() && troubleSince.isEmpty();
    if (!steady || sent.size() == MOST_UNDER_WAY) {
      return false;
    }
    long apart = Math.max(BESIDE_NANOS, lastTookNanos / BESIDE_PART);
    boolean allUnderWay = sent.stream().allMatch(one -> one.underWay.present(turn));
    return allUnderWay && turn.nowNanos() - sent.getLast().since >= apart;
  }

  private void sendNext(BatchTurn turn) {
    Sent next = new Sent(new WriterPosition(epoch, nextSequence), turn.nowNanos());
    nextSequence++;
    fill(next);
    sent.addLast(next);
    send(next, turn);
  }

  private void repeat(Sent oldest, BatchTurn turn) {
    // It may have been taken if its outcome was lost.
    oldest.certain = oldest.certain && !oldest.unanswered;
    send(oldest, turn);
  }

  /** Tells whether nothing waits and nothing is on its way. */
  public boolean idle() {
    return sent.isEmpty() && waiting.isEmpty();
  }

  /** Gives up refusable changes that wait while the store is in trouble. */
  public void expire(BatchTurn turn) {
    if (!storeAway(turn)) {
      return;
    }
    List<Consumer<CommitLoss>> given = new ArrayList<>();
    Iterator<PendingChange> changes = waiting.values().iterator();
    while (changes.hasNext()) {
      PendingChange change = changes.next();
      boolean old = turn.nowNanos() - change.since > patienceNanos(turn);
      if (old && change.lost.isPresent()) {
        given.add(change.lost.get());
        changes.remove();
      }
    }
    given.forEach(lost -> lost.accept(CommitLoss.NOT_STORED));
  }

  /** Tells whether the store has taken nothing for a while although asked. */
  public boolean storeAway(BatchTurn turn) {
    long patience = patienceNanos(turn);
    boolean unanswered = !sent.isEmpty() && waitedNanos(turn) > patience;
    boolean refusing =
        troubleSince.isPresent() && turn.nowNanos() - troubleSince.getAsLong() > patience;
    return unanswered || refusing;
  }

  /** An append that waits for another takes twice as long as one alone. */
  private long patienceNanos(BatchTurn turn) {
    long append = Math.max(appends.longest(turn), otherStreamNanos);
    return Math.max(LEAST_PATIENCE_NANOS, 2 * append);
  }

  /** Takes in how long appends to another stream of the store take at most. */
  public void appendsToAnotherTake(long nanos) {
    otherStreamNanos = nanos;
  }

  /**
   * Returns how long a change that is put now takes until it is stored, as far as is known.
   *
   * @param append how long one append takes, in nanoseconds
   */
  public long storedInNanos(long append, BatchTurn turn) {
    if (sent.isEmpty()) {
      return append;
    }
    boolean full = sent.size() == MOST_UNDER_WAY;
    Sent awaited = full ? sent.getFirst() : sent.getLast();
    long turnAfter = full ? append : append / BESIDE_PART;
    return append + Math.max(0, turnAfter - (turn.nowNanos() - awaited.since));
  }

  /** Returns how long the oldest append has been the one that all others wait for. */
  private long waitedNanos(BatchTurn turn) {
    long since = sent.getFirst().since;
    boolean behindAnother = committedAt.isPresent() && committedAt.getAsLong() - since > 0;
    return turn.nowNanos() - (behindAnother ? committedAt.getAsLong() : since);
  }

  /**
   * Returns since when the store has taken nothing although asked, monotonic time; absent if it
   * takes.
   */
  public OptionalLong troubleSince() {
    return troubleSince;
  }

  /**
   * Returns when the last append that the store has answered as stored was sent, monotonic time:
   * the store could be reached then.
   */
  public OptionalLong storedAt() {
    return storedAt;
  }

  /** Takes the outcome of an append; false if ownership is lost by it. */
  public boolean answered(WriterPosition position, AppendOutcome outcome, BatchTurn turn) {
    Optional<Sent> found =
        sent.stream().filter(current -> current.position.equals(position)).findFirst();
    if (found.isEmpty()) {
      return true;
    }
    Sent current = found.get();
    current.outcomeCame();
    return switch (outcome) {
      case AppendOutcome.Stored stored -> {
        commitUpTo(current, turn);
        yield true;
      }
      case AppendOutcome.Refused refused -> {
        pause(turn);
        takeBack();
        yield true;
      }
      case AppendOutcome.Unanswered unanswered -> {
        current.certain = false;
        pause(turn);
        yield true;
      }
      case AppendOutcome.OutOfSequence(long expected) -> cameBeforeItsTurn(current, expected, turn);
      case AppendOutcome.Fenced fenced -> false;
      case AppendOutcome.Conflict conflict -> false;
    };
  }

  /** One that overtook another did nothing and goes out again; else the epoch is another's. */
  private boolean cameBeforeItsTurn(Sent current, long expected, BatchTurn turn) {
    boolean overtook = storedAt.isPresent() && expected < current.position.sequence();
    if (overtook && current == sent.getFirst()) {
      pause(turn);
    }
    return overtook;
  }

  /** Gives up everything that is not known as stored; ownership is lost. */
  public void close() {
    waiting.values().forEach(change -> change.lose(CommitLoss.NOT_STORED));
    waiting.clear();
    for (Sent current : sent) {
      CommitLoss loss = current.surelyNotStored() ? CommitLoss.NOT_STORED : CommitLoss.UNKNOWN;
      current.changes.values().forEach(change -> change.lose(loss));
    }
    sent.clear();
  }

  private void fill(Sent next) {
    int bytes = 0;
    Iterator<Map.Entry<String, PendingChange>> entries = waiting.entrySet().iterator();
    while (entries.hasNext() && bytes < MAX_APPEND_BYTES) {
      Map.Entry<String, PendingChange> entry = entries.next();
      Optional<byte[]> value = entry.getValue().encoder.get();
      bytes += entry.getKey().length() + value.map(content -> content.length).orElse(0);
      next.records.add(new KeyedRecord(entry.getKey(), value));
      next.changes.put(entry.getKey(), entry.getValue());
      entries.remove();
    }
  }

  private void send(Sent current, BatchTurn turn) {
    current.underWay.begin(turn);
    if (!current.unanswered) {
      // Otherwise an outcome that still comes may be that of the send before.
      current.sentAt = turn.nowNanos();
    }
    current.unanswered = true;
    turn.add(
        new BatchCommand.Append(
            StreamName.STATE, current.position, OptionalLong.empty(), current.records));
  }

  /** What one stores, all before it have stored too. */
  private void commitUpTo(Sent last, BatchTurn turn) {
    troubleSince = OptionalLong.empty();
    storedAt = OptionalLong.of(last.sentAt);
    committedAt = OptionalLong.of(turn.nowNanos());
    lastTookNanos = turn.nowNanos() - last.sentAt;
    appends.add(lastTookNanos, turn);
    boolean more = true;
    while (more) {
      Sent stored = sent.removeFirst();
      more = stored != last;
      stored.changes.values().forEach(change -> change.committed.forEach(Runnable::run));
    }
  }

  /** What the store surely has nothing of goes back to what waits, all of it or nothing. */
  private void takeBack() {
    if (!sent.stream().allMatch(Sent::surelyNotStored)) {
      return;
    }
    Map<String, PendingChange> newer = new LinkedHashMap<>(waiting);
    waiting.clear();
    nextSequence = sent.getFirst().position.sequence();
    for (Sent refused : sent) {
      refused.changes.forEach(
          (key, change) -> waiting.merge(key, change, PendingChange::followedBy));
    }
    sent.clear();
    newer.forEach((key, change) -> waiting.merge(key, change, PendingChange::followedBy));
  }

  private void pause(BatchTurn turn) {
    pausedUntil = turn.nowNanos() + RETRY_PAUSE_NANOS;
    if (troubleSince.isEmpty()) {
      troubleSince = OptionalLong.of(turn.nowNanos());
    }
  }

  /** The append under way. */
  private static final class Sent {
    private final WriterPosition position;
    private final long since;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final Map<String, PendingChange> changes = new LinkedHashMap<>();
    private final Outstanding underWay = new Outstanding(Outstanding.APPEND);

    private long sentAt;

    /** Whether the last send has had no outcome so far. */
    private boolean unanswered;

    /** Whether all sends with an outcome are known to have done nothing. */
    private boolean certain = true;

    Sent(WriterPosition position, long since) {
      this.position = position;
      this.since = since;
    }

    boolean surelyNotStored() {
      return certain && !unanswered;
    }

    void outcomeCame() {
      underWay.end();
      unanswered = false;
    }
  }
}
