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
import org.fescuehook.logic.batch.BatchContext;

/**
 * Stores the state of the jobs by group commit: changes made while an append is in flight are sent
 * together with the next one. A change is encoded when it is sent, so several changes of one key
 * cost one record.
 *
 * <p>While the store answers in time, one append is in flight. If it takes long, further ones are
 * sent concurrently, so that a change waits for its own append and not for the one before it as
 * well. The store accepts the sequence numbers of an epoch in order only: once one append is
 * stored, all before it are, and one that arrived ahead of its turn was not processed.
 */
public final class StateWriter {

  /** Pause before an append is repeated; 25 times the usual 4 ms of the store. */
  private static final long RETRY_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * How long appends may fail before the store counts as unavailable, if it was fast before.
   * Callers wait about 3 s, and half of that leaves them time to retry.
   */
  private static final long MIN_UNAVAILABLE_NANOS = Duration.ofMillis(700).toNanos();

  /** Most appends in flight: one that is processed, and one whose answer is in transit. */
  private static final int MAX_IN_FLIGHT = 2;

  /** The next append is sent once this part of the last append's duration has passed. */
  private static final int OVERLAP_DELAY_DIVISOR = 4;

  /** Least delay of the next append while one is in flight; ten times the usual 4 ms. */
  private static final long MIN_OVERLAP_DELAY_NANOS = Duration.ofMillis(40).toNanos();

  /** Bytes of keys and values that fill an append; half of what the store accepts in total. */
  private static final int MAX_APPEND_BYTES = 1 << 20;

  private final long epoch;
  private final Map<String, PendingChange> pendingChanges = new LinkedHashMap<>();

  /** Appends that are not confirmed as stored, in the order of their sequence numbers. */
  private final Deque<InFlightAppend> inFlight = new ArrayDeque<>();

  private long nextSequence;
  private final SlidingWindowMaximum appendTimes = new SlidingWindowMaximum();
  private long otherStreamAppendNanos;
  private long lastAppendNanos;
  private long pausedUntil;
  private OptionalLong failingSince = OptionalLong.empty();
  private OptionalLong lastReachedAt = OptionalLong.empty();
  private OptionalLong lastCommitAt = OptionalLong.empty();

  /** Creates a writer of an epoch that has not appended anything. */
  public StateWriter(long epoch, BatchContext context) {
    this.epoch = epoch;
    this.pausedUntil = context.nowNanos();
  }

  /**
   * Stores the newest value of a key with the next append.
   *
   * @param encoder supplies the value when the append is assembled; absent deletes the key
   * @param committed called once the value, or a newer one of the key, is stored
   */
  public void put(String key, Supplier<Optional<byte[]>> encoder, Runnable committed) {
    PendingChange change = pendingChanges.computeIfAbsent(key, name -> new PendingChange());
    change.encoder = encoder;
    change.onCommitted.add(committed);
  }

  /**
   * Stores a new key, unless the store is unavailable for so long that the change is given up.
   *
   * @param lost called once if the change is given up
   */
  public void putExpiring(
      String key,
      Supplier<Optional<byte[]>> encoder,
      Runnable committed,
      Consumer<CommitFailure> lost,
      BatchContext context) {
    put(key, encoder, committed);
    PendingChange change = pendingChanges.get(key);
    change.onLost = Optional.of(lost);
    change.waitingSince = context.nowNanos();
  }

  /**
   * Runs a callback once the newest value of a key is stored; at once if no change of it is pending
   * or in flight. Nothing that is only in memory may be confirmed to anybody, since it is lost with
   * this owner.
   */
  public void whenStored(String key, Runnable committed) {
    Optional<PendingChange> pending = newestChange(key);
    if (pending.isEmpty()) {
      committed.run();
      return;
    }
    pending.get().onCommitted.add(committed);
  }

  private Optional<PendingChange> newestChange(String key) {
    if (pendingChanges.containsKey(key)) {
      return Optional.of(pendingChanges.get(key));
    }
    Iterator<InFlightAppend> newestFirst = inFlight.descendingIterator();
    while (newestFirst.hasNext()) {
      PendingChange change = newestFirst.next().changes.get(key);
      if (change != null) {
        return Optional.of(change);
      }
    }
    return Optional.empty();
  }

  /** Sends pending changes if possible, or repeats the oldest append if that is due. */
  public void flush(BatchContext context) {
    if (context.nowNanos() - pausedUntil < 0) {
      return;
    }
    if (!inFlight.isEmpty() && !inFlight.getFirst().underWay.isPending(context)) {
      repeat(inFlight.getFirst(), context);
      return;
    }
    if (!pendingChanges.isEmpty() && (inFlight.isEmpty() || mayOverlap(context))) {
      sendNext(context);
    }
  }

  /**
   * Tells whether an append may be sent while others are in flight. It may not before one of the
   * epoch is stored, as an epoch may begin at any sequence number, nor while one has to be
   * repeated.
   */
  private boolean mayOverlap(BatchContext context) {
    boolean steady = lastReachedAt.isPresent() && failingSince.isEmpty();
    if (!steady || inFlight.size() == MAX_IN_FLIGHT) {
      return false;
    }
    long overlapDelay = Math.max(MIN_OVERLAP_DELAY_NANOS, lastAppendNanos / OVERLAP_DELAY_DIVISOR);
    boolean allUnderWay = inFlight.stream().allMatch(append -> append.underWay.isPending(context));
    return allUnderWay && context.nowNanos() - inFlight.getLast().since >= overlapDelay;
  }

  private void sendNext(BatchContext context) {
    InFlightAppend next =
        new InFlightAppend(new WriterPosition(epoch, nextSequence), context.nowNanos());
    nextSequence++;
    fill(next);
    inFlight.addLast(next);
    send(next, context);
  }

  private void repeat(InFlightAppend oldest, BatchContext context) {
    // Without an outcome of the last send, the records may have been stored by it.
    oldest.knownNotStored = oldest.knownNotStored && !oldest.unanswered;
    send(oldest, context);
  }

  /** Tells whether no change is pending or in flight. */
  public boolean idle() {
    return inFlight.isEmpty() && pendingChanges.isEmpty();
  }

  /** Gives up changes of {@link #putExpiring} that have waited too long for the store. */
  public void expire(BatchContext context) {
    if (!storeUnavailable(context)) {
      return;
    }
    List<Consumer<CommitFailure>> expiredCallbacks = new ArrayList<>();
    Iterator<PendingChange> changes = pendingChanges.values().iterator();
    while (changes.hasNext()) {
      PendingChange change = changes.next();
      boolean old = context.nowNanos() - change.waitingSince > unavailableAfterNanos(context);
      if (old && change.onLost.isPresent()) {
        expiredCallbacks.add(change.onLost.get());
        changes.remove();
      }
    }
    expiredCallbacks.forEach(lost -> lost.accept(CommitFailure.NOT_STORED));
  }

  /** Tells whether the store has not stored anything for a while although there were appends. */
  public boolean storeUnavailable(BatchContext context) {
    long unavailableAfter = unavailableAfterNanos(context);
    boolean unanswered = !inFlight.isEmpty() && oldestWaitNanos(context) > unavailableAfter;
    boolean failing =
        failingSince.isPresent()
            && context.nowNanos() - failingSince.getAsLong() > unavailableAfter;
    return unanswered || failing;
  }

  /** Returns twice the duration of an append, as one may wait for another, or the least time. */
  private long unavailableAfterNanos(BatchContext context) {
    long append = Math.max(appendTimes.longest(context), otherStreamAppendNanos);
    return Math.max(MIN_UNAVAILABLE_NANOS, 2 * append);
  }

  /** Records the longest recent duration of appends to another stream of the store. */
  public void recordOtherStreamAppend(long nanos) {
    otherStreamAppendNanos = nanos;
  }

  /**
   * Estimates how long a change takes from now until it is stored.
   *
   * @param append duration of one append, in nanoseconds
   */
  public long estimatedStoreNanos(long append, BatchContext context) {
    if (inFlight.isEmpty()) {
      return append;
    }
    boolean full = inFlight.size() == MAX_IN_FLIGHT;
    InFlightAppend awaited = full ? inFlight.getFirst() : inFlight.getLast();
    long nextSendAfter = full ? append : append / OVERLAP_DELAY_DIVISOR;
    return append + Math.max(0, nextSendAfter - (context.nowNanos() - awaited.since));
  }

  /** Returns how long the oldest append has been in flight without waiting for an earlier one. */
  private long oldestWaitNanos(BatchContext context) {
    long since = inFlight.getFirst().since;
    boolean waitedForEarlier = lastCommitAt.isPresent() && lastCommitAt.getAsLong() - since > 0;
    return context.nowNanos() - (waitedForEarlier ? lastCommitAt.getAsLong() : since);
  }

  /** Returns since when appends fail, monotonic time; absent if the last one was stored. */
  public OptionalLong failingSince() {
    return failingSince;
  }

  /** Returns when the store was last reached: the send of its last stored append, monotonic. */
  public OptionalLong lastReachedAt() {
    return lastReachedAt;
  }

  /** Handles the outcome of an append; returns false if it shows that ownership is lost. */
  public boolean appendCompleted(
      WriterPosition position, AppendOutcome outcome, BatchContext context) {
    Optional<InFlightAppend> found =
        inFlight.stream().filter(current -> current.position.equals(position)).findFirst();
    if (found.isEmpty()) {
      return true;
    }
    InFlightAppend current = found.get();
    current.outcomeReceived();
    return switch (outcome) {
      case AppendOutcome.Stored stored -> {
        commitUpTo(current, context);
        yield true;
      }
      case AppendOutcome.Refused refused -> {
        pause(context);
        requeueUnstored();
        yield true;
      }
      case AppendOutcome.Unanswered unanswered -> {
        current.knownNotStored = false;
        pause(context);
        yield true;
      }
      case AppendOutcome.OutOfSequence(long expected) ->
          handleOutOfSequence(current, expected, context);
      case AppendOutcome.Fenced fenced -> false;
      case AppendOutcome.Conflict conflict -> false;
    };
  }

  /**
   * Handles an append that arrived out of sequence. If it overtook an earlier one, nothing was
   * stored and it is sent again; otherwise the epoch belongs to another writer.
   */
  private boolean handleOutOfSequence(InFlightAppend current, long expected, BatchContext context) {
    boolean overtook = lastReachedAt.isPresent() && expected < current.position.sequence();
    if (overtook && current == inFlight.getFirst()) {
      pause(context);
    }
    return overtook;
  }

  /** Gives up all changes that are not confirmed as stored, since ownership is lost. */
  public void close() {
    List<PendingChange> unsent = List.copyOf(pendingChanges.values());
    pendingChanges.clear();
    unsent.forEach(change -> change.notifyLost(CommitFailure.NOT_STORED));
    for (InFlightAppend current : inFlight) {
      CommitFailure loss =
          current.certainlyNotStored() ? CommitFailure.NOT_STORED : CommitFailure.UNKNOWN;
      current.changes.values().forEach(change -> change.notifyLost(loss));
    }
    inFlight.clear();
  }

  private void fill(InFlightAppend next) {
    int bytes = 0;
    Iterator<Map.Entry<String, PendingChange>> entries = pendingChanges.entrySet().iterator();
    while (entries.hasNext() && bytes < MAX_APPEND_BYTES) {
      Map.Entry<String, PendingChange> entry = entries.next();
      Optional<byte[]> value = entry.getValue().encoder.get();
      bytes += entry.getKey().length() + value.map(content -> content.length).orElse(0);
      next.records.add(new KeyedRecord(entry.getKey(), value));
      next.changes.put(entry.getKey(), entry.getValue());
      entries.remove();
    }
  }

  private void send(InFlightAppend current, BatchContext context) {
    current.underWay.begin(context);
    if (!current.unanswered) {
      // Otherwise an outcome that arrives may belong to the previous send.
      current.sentAt = context.nowNanos();
    }
    current.unanswered = true;
    context.add(
        new BatchCommand.Append(
            StreamName.STATE, current.position, OptionalLong.empty(), current.records));
  }

  /** Confirms the changes up to a stored append, since all appends before it are stored too. */
  private void commitUpTo(InFlightAppend last, BatchContext context) {
    failingSince = OptionalLong.empty();
    lastReachedAt = OptionalLong.of(last.sentAt);
    lastCommitAt = OptionalLong.of(context.nowNanos());
    lastAppendNanos = context.nowNanos() - last.sentAt;
    appendTimes.add(lastAppendNanos, context);
    boolean more = true;
    while (more) {
      InFlightAppend stored = inFlight.removeFirst();
      more = stored != last;
      stored.changes.values().forEach(change -> change.onCommitted.forEach(Runnable::run));
    }
  }

  /** Makes all changes in flight pending again, if the store has certainly stored none. */
  private void requeueUnstored() {
    if (!inFlight.stream().allMatch(InFlightAppend::certainlyNotStored)) {
      return;
    }
    Map<String, PendingChange> newer = new LinkedHashMap<>(pendingChanges);
    pendingChanges.clear();
    nextSequence = inFlight.getFirst().position.sequence();
    for (InFlightAppend refused : inFlight) {
      refused.changes.forEach(
          (key, change) -> pendingChanges.merge(key, change, PendingChange::supersededBy));
    }
    inFlight.clear();
    newer.forEach((key, change) -> pendingChanges.merge(key, change, PendingChange::supersededBy));
  }

  private void pause(BatchContext context) {
    pausedUntil = context.nowNanos() + RETRY_PAUSE_NANOS;
    if (failingSince.isEmpty()) {
      failingSince = OptionalLong.of(context.nowNanos());
    }
  }

  /** An append that is not confirmed as stored. */
  private static final class InFlightAppend {
    private final WriterPosition position;
    private final long since;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final Map<String, PendingChange> changes = new LinkedHashMap<>();
    private final PendingCall underWay = new PendingCall(PendingCall.APPEND_TIMEOUT);

    private long sentAt;

    /** Whether the last send has had no outcome yet. */
    private boolean unanswered;

    /** Whether all sends with an outcome are known not to have been stored. */
    private boolean knownNotStored = true;

    InFlightAppend(WriterPosition position, long since) {
      this.position = position;
      this.since = since;
    }

    boolean certainlyNotStored() {
      return knownNotStored && !unanswered;
    }

    void outcomeReceived() {
      underWay.end();
      unanswered = false;
    }
  }
}
