package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.ArrayList;
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
 * Group commit: one append is under way at a time, and what changes meanwhile goes out together
 * with the next. A change is encoded when it is sent, so several changes of one key cost one
 * record.
 */
public final class StateWriter {

  /** Pause before an append is repeated; some tens of the store's usual 4 ms. */
  private static final long RETRY_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * How long the store may be in trouble before it counts as away. Callers wait about 3 s, and half
   * of that leaves them time to ask again.
   */
  private static final long PATIENCE_NANOS = Duration.ofMillis(700).toNanos();

  /** Most bytes of one append; half of what the store takes, since values are measured alone. */
  private static final int MAX_APPEND_BYTES = 1 << 20;

  private final long epoch;
  private final Map<String, Change> waiting = new LinkedHashMap<>();
  private Optional<Sent> sent = Optional.empty();
  private long nextSequence;
  private long pausedUntil;
  private OptionalLong troubleSince = OptionalLong.empty();
  private OptionalLong storedAt = OptionalLong.empty();

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
    Change change = waiting.computeIfAbsent(key, name -> new Change());
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
    Change change = waiting.get(key);
    change.lost = Optional.of(lost);
    change.since = turn.nowNanos();
  }

  /**
   * Calls back once the newest value of a key is stored: at once if none waits and none is on its
   * way. What is known in memory alone is lost with this owner, so nothing may be confirmed by it.
   */
  public void whenStored(String key, Runnable committed) {
    Optional<Change> pending =
        Optional.ofNullable(waiting.get(key))
            .or(() -> sent.map(current -> current.changes.get(key)));
    if (pending.isEmpty()) {
      committed.run();
      return;
    }
    pending.get().committed.add(committed);
  }

  /** Sends what waits if no append is under way, or repeats the one under way when it is time. */
  public void flush(BatchTurn turn) {
    if (turn.nowNanos() - pausedUntil < 0) {
      return;
    }
    if (sent.isPresent()) {
      repeatIfDue(sent.get(), turn);
      return;
    }
    if (waiting.isEmpty()) {
      return;
    }
    Sent next = new Sent(new WriterPosition(epoch, nextSequence), turn.nowNanos());
    fill(next);
    sent = Optional.of(next);
    send(next, turn);
  }

  private void repeatIfDue(Sent current, BatchTurn turn) {
    if (current.underWay.present(turn)) {
      return;
    }
    // It may have been taken if its outcome was lost.
    current.certain = current.certain && !current.unanswered;
    send(current, turn);
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
    Iterator<Change> changes = waiting.values().iterator();
    while (changes.hasNext()) {
      Change change = changes.next();
      boolean old = turn.nowNanos() - change.since > PATIENCE_NANOS;
      if (old && change.lost.isPresent()) {
        given.add(change.lost.get());
        changes.remove();
      }
    }
    given.forEach(lost -> lost.accept(CommitLoss.NOT_STORED));
  }

  /** Tells whether the store has taken nothing for a while although asked. */
  public boolean storeAway(BatchTurn turn) {
    boolean unanswered =
        sent.filter(current -> turn.nowNanos() - current.since > PATIENCE_NANOS).isPresent();
    boolean refusing =
        troubleSince.isPresent() && turn.nowNanos() - troubleSince.getAsLong() > PATIENCE_NANOS;
    return unanswered || refusing;
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
    if (sent.filter(current -> current.position.equals(position)).isEmpty()) {
      return true;
    }
    Sent current = sent.get();
    current.outcomeCame();
    return switch (outcome) {
      case AppendOutcome.Stored stored -> {
        commit(current);
        yield true;
      }
      case AppendOutcome.Refused refused -> {
        refused(current, turn);
        yield true;
      }
      case AppendOutcome.Unanswered unanswered -> {
        current.certain = false;
        pause(turn);
        yield true;
      }
      case AppendOutcome.Fenced fenced -> false;
      case AppendOutcome.Conflict conflict -> false;
      case AppendOutcome.OutOfSequence expected -> false;
    };
  }

  /** Gives up everything that is not known as stored; ownership is lost. */
  public void close() {
    waiting.values().forEach(change -> change.lose(CommitLoss.NOT_STORED));
    waiting.clear();
    if (sent.isPresent()) {
      boolean notStored = sent.get().certain && !sent.get().unanswered;
      CommitLoss loss = notStored ? CommitLoss.NOT_STORED : CommitLoss.UNKNOWN;
      sent.get().changes.values().forEach(change -> change.lose(loss));
    }
    sent = Optional.empty();
  }

  private void fill(Sent next) {
    int bytes = 0;
    Iterator<Map.Entry<String, Change>> entries = waiting.entrySet().iterator();
    while (entries.hasNext() && bytes < MAX_APPEND_BYTES) {
      Map.Entry<String, Change> entry = entries.next();
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

  private void commit(Sent current) {
    troubleSince = OptionalLong.empty();
    storedAt = OptionalLong.of(current.sentAt);
    nextSequence++;
    sent = Optional.empty();
    current.changes.values().forEach(change -> change.committed.forEach(Runnable::run));
  }

  /** Nothing was done; what was refused each time goes back to what waits. */
  private void refused(Sent current, BatchTurn turn) {
    pause(turn);
    if (!current.certain) {
      return;
    }
    sent = Optional.empty();
    Map<String, Change> newer = new LinkedHashMap<>(waiting);
    waiting.clear();
    waiting.putAll(current.changes);
    newer.forEach((key, change) -> waiting.merge(key, change, Change::followedBy));
  }

  private void pause(BatchTurn turn) {
    pausedUntil = turn.nowNanos() + RETRY_PAUSE_NANOS;
    if (troubleSince.isEmpty()) {
      troubleSince = OptionalLong.of(turn.nowNanos());
    }
  }

  /** What is to be stored under one key, and who waits for it. */
  private static final class Change {
    private final List<Runnable> committed = new ArrayList<>();
    private Supplier<Optional<byte[]>> encoder = Optional::empty;
    private Optional<Consumer<CommitLoss>> lost = Optional.empty();
    private long since;

    /** Returns the newer change, which also tells those who wait for this one. */
    Change followedBy(Change newer) {
      newer.committed.addAll(0, committed);
      return newer;
    }

    void lose(CommitLoss loss) {
      lost.ifPresent(waiter -> waiter.accept(loss));
    }
  }

  /** The append under way. */
  private static final class Sent {
    private final WriterPosition position;
    private final long since;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final Map<String, Change> changes = new LinkedHashMap<>();
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

    void outcomeCame() {
      underWay.end();
      unanswered = false;
    }
  }
}
