package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a keyed topic: reads the newest record of each key, then each new record. If records
 * expire before they are read, it starts over with the newest record of each key. All state is
 * confined to one event loop.
 */
final class StreamFollower {

  private static final Logger LOGGER = LoggerFactory.getLogger(StreamFollower.class);

  /**
   * Pause after a failed read. The store's rate limits allow it even if all VMs retry at the same
   * time.
   */
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final StoreReader store;
  private final Topic topic;
  private final ReadTiming timing;
  private final Listener listener;
  private List<StreamRecord> pageRecords = new ArrayList<>();
  private boolean initialReadDone;
  private long nextOffset;
  private long readSentAt;
  private boolean running;
  private long generation;
  private boolean failing;
  private long failingSince;

  /**
   * Timing of the reads of a topic.
   *
   * @param longestWait how long a read waits in the store for a record
   * @param pause time between reads; several records that arrive meanwhile are read at once
   */
  record ReadTiming(Duration maxWait, Duration pause) {}

  /**
   * Receives what was read, on the event loop. A record for which it throws is left out; it may
   * receive the others again.
   */
  interface Listener {

    /** Receives the newest record of every key; they replace everything received before. */
    void newest(List<StreamRecord> records, long end);

    /** Receives the records that were appended since; empty if there were none within the wait. */
    void records(List<StreamRecord> records, long end);

    /** Called when a read has failed or its answer is late. */
    void failed();
  }

  /**
   * Creates a follower that is not started.
   *
   * @param times the response times of reads, shared by all readers of this VM
   */
  StreamFollower(
      EventLoop loop,
      InetSocketAddress address,
      ResponseTimeEstimator times,
      Topic topic,
      ReadTiming timing,
      Listener listener) {
    this.loop = loop;
    this.address = address;
    this.store = new StoreReader(loop, address, times);
    this.topic = topic;
    this.timing = timing;
    this.listener = listener;
  }

  /** Starts with the newest record of each key. Has no effect on a running follower. */
  void start() {
    loop.execute(
        () -> {
          if (!running) {
            running = true;
            generation++;
            initialReadDone = false;
            pageRecords = new ArrayList<>();
            readNewest(Optional.empty(), generation);
          }
        });
  }

  /** Stops the follower. The listener is not called afterwards. */
  void stop() {
    loop.execute(
        () -> {
          running = false;
          generation++;
          store.close();
        });
  }

  /**
   * Returns when the read that was last delivered was sent, monotonic time: records appended since
   * may be missing. For a read of several pages this is the first of them.
   */
  long readSentAt() {
    return readSentAt;
  }

  private void readNewest(Optional<String> afterKey, long readGeneration) {
    if (afterKey.isEmpty()) {
      readSentAt = System.nanoTime();
    }
    store.newest(topic, afterKey, new ReadListener(readGeneration));
  }

  private void readNext(long readGeneration) {
    readSentAt = System.nanoTime();
    store.read(topic, nextOffset, timing.maxWait(), new ReadListener(readGeneration));
  }

  private void handle(ReadOutcome outcome, long readGeneration) {
    if (readGeneration != generation) {
      return;
    }
    switch (outcome) {
      case ReadOutcome.Newest page -> handlePage(page, readGeneration);
      case ReadOutcome.Records read -> {
        succeeded(read.end());
        nextOffset = Math.max(nextOffset, read.nextOffset());
        deliver(() -> deliverChanges(read.records(), read.end()), readGeneration);
      }
      case ReadOutcome.Expired(long firstKept) -> {
        EventLog.info(LOGGER, PlatformEvent.RECORDS_EXPIRED, topic, firstKept);
        initialReadDone = false;
        pageRecords = new ArrayList<>();
        readNewest(Optional.empty(), readGeneration);
      }
      case ReadOutcome.Failed(String reason) -> {
        failed(reason);
        runAfter(RETRY_DELAY, () -> resume(readGeneration));
      }
    }
  }

  private void handlePage(ReadOutcome.Newest page, long readGeneration) {
    if (pageRecords.isEmpty()) {
      // The pages are no consistent snapshot, so changes since the first page are read again from
      // here.
      nextOffset = page.end();
    }
    pageRecords.addAll(page.records());
    if (page.moreAfter().isPresent()) {
      readNewest(page.moreAfter(), readGeneration);
      return;
    }
    succeeded(page.end());
    List<StreamRecord> all = pageRecords;
    pageRecords = new ArrayList<>();
    initialReadDone = true;
    deliver(() -> deliverNewest(all, page.end()), readGeneration);
  }

  /**
   * Delivers records and schedules the next read, even if the listener throws; otherwise the topic
   * would never be read again. After an error the records may be lost, so reading starts over with
   * the newest record of each key.
   */
  private void deliver(Runnable delivery, long readGeneration) {
    boolean delivered = false;
    try {
      delivery.run();
      delivered = true;
    } finally {
      initialReadDone = delivered;
      runAfter(delivered ? timing.pause() : RETRY_DELAY, () -> resume(readGeneration));
    }
  }

  /**
   * Delivers changes. If the listener throws, it receives them one by one, without those for which
   * it throws: reading them again would fail in the same way and cost all other records.
   */
  private void deliverChanges(List<StreamRecord> records, long end) {
    if (!throwing(() -> listener.records(records, end))) {
      return;
    }
    deliverSingly(records, end);
  }

  /**
   * Delivers the newest record of each key. If the listener throws, it receives them as changes to
   * find those for which it throws, and then all others at once, as keys that are gone show only
   * there.
   */
  private void deliverNewest(List<StreamRecord> records, long end) {
    if (!throwing(() -> listener.newest(records, end))) {
      return;
    }
    List<StreamRecord> byOffset =
        records.stream().sorted(Comparator.comparingLong(StreamRecord::offset)).toList();
    Set<Long> skipped = deliverSingly(byOffset, end);
    List<StreamRecord> others =
        records.stream().filter(record -> !skipped.contains(record.offset())).toList();
    if (skipped.isEmpty() || throwing(() -> listener.newest(others, end))) {
      EventLog.warn(LOGGER, PlatformEvent.RECORDS_APPLIED_SINGLY, topic, records.size(), end);
    }
  }

  /** Returns the offsets of the records for which the listener threw. */
  private Set<Long> deliverSingly(List<StreamRecord> records, long end) {
    Set<Long> skipped = new HashSet<>();
    for (StreamRecord record : records) {
      try {
        listener.records(List.of(record), end);
      } catch (RuntimeException | StackOverflowError e) {
        skipped.add(record.offset());
        PlatformStore.logUnreadable(topic, record.key(), e);
      }
    }
    return skipped;
  }

  private static boolean throwing(Runnable delivery) {
    try {
      delivery.run();
      return false;
    } catch (RuntimeException | StackOverflowError e) {
      return true;
    }
  }

  private void resume(long readGeneration) {
    if (readGeneration != generation) {
      return;
    }
    if (initialReadDone) {
      readNext(readGeneration);
    } else {
      pageRecords = new ArrayList<>();
      readNewest(Optional.empty(), readGeneration);
    }
  }

  private void runAfter(Duration pause, Runnable step) {
    if (pause.isZero()) {
      step.run();
      return;
    }
    loop.schedule(step, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void succeeded(long end) {
    if (failing) {
      failing = false;
      long millis = Duration.ofNanos(System.nanoTime() - failingSince).toMillis();
      EventLog.info(LOGGER, PlatformEvent.STREAM_BACK, topic, address, millis, end);
    }
  }

  private void failed(String reason) {
    if (!failing) {
      failing = true;
      failingSince = System.nanoTime();
      EventLog.warn(LOGGER, PlatformEvent.STREAM_LOST, topic, address, reason);
    }
    listener.failed();
  }

  /** Reports the outcome of one read, unless the follower was stopped or restarted meanwhile. */
  private final class ReadListener implements RepeatedRead.Listener {
    private final long readGeneration;

    ReadListener(long readGeneration) {
      this.readGeneration = readGeneration;
    }

    @Override
    public void late(Duration time) {
      if (readGeneration == generation) {
        StreamFollower.this.failed("no answer within " + time.toMillis() + " ms, asked again");
      }
    }

    @Override
    public void ended(ReadOutcome outcome) {
      handle(outcome, readGeneration);
    }
  }
}
