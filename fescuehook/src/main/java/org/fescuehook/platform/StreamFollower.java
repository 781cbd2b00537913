package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a keyed topic: reads the newest record of each key, then each further record as it comes.
 * Where records have expired unread, it begins again with the newest ones. All state belongs to one
 * event loop.
 */
final class StreamFollower {

  private static final Logger LOGGER = LoggerFactory.getLogger(StreamFollower.class);

  /** Pause after a failed read; the store's limits allow it for all VMs together. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final StoreReader store;
  private final Topic topic;
  private final Pace pace;
  private final Listener listener;
  private List<StreamRecord> pages = new ArrayList<>();
  private boolean begun;
  private long next;
  private boolean running;
  private long generation;
  private boolean failing;
  private long failingSince;

  /**
   * How a topic is read.
   *
   * @param longestWait how long a read waits for a record
   * @param pause time between reads, so that several records come with one
   */
  record Pace(Duration longestWait, Duration pause) {}

  /** Hears what was read, on the event loop. */
  interface Listener {

    /** All newest records, in place of what was known. */
    void newest(List<StreamRecord> records, long end);

    /** The records that have come since; none if a read waited in vain. */
    void records(List<StreamRecord> records, long end);

    /** A read failed, or its answer is late. */
    void failed();
  }

  /**
   * Creates a follower that does not run.
   *
   * @param times what is known of the store's answers to reads, of all readers of this VM
   */
  StreamFollower(
      EventLoop loop,
      InetSocketAddress address,
      ResponseTimeEstimator times,
      Topic topic,
      Pace pace,
      Listener listener) {
    this.loop = loop;
    this.address = address;
    this.store = new StoreReader(loop, address, times);
    this.topic = topic;
    this.pace = pace;
    this.listener = listener;
  }

  /** Begins from the newest records; a follower that runs goes on. */
  void start() {
    loop.execute(
        () -> {
          if (!running) {
            running = true;
            generation++;
            begun = false;
            pages = new ArrayList<>();
            readNewest(Optional.empty(), generation);
          }
        });
  }

  /** Stops; nothing is reported afterwards. */
  void stop() {
    loop.execute(
        () -> {
          running = false;
          generation++;
          store.close();
        });
  }

  private void readNewest(Optional<String> afterKey, long asked) {
    store.newest(topic, afterKey, new Reading(asked));
  }

  private void readOn(long asked) {
    store.read(topic, next, pace.longestWait(), new Reading(asked));
  }

  private void took(ReadOutcome outcome, long asked) {
    if (asked != generation) {
      return;
    }
    switch (outcome) {
      case ReadOutcome.Newest page -> tookPage(page, asked);
      case ReadOutcome.Records read -> {
        succeeded(read.end());
        next = Math.max(next, read.records().isEmpty() ? next : lastOffset(read) + 1);
        tell(() -> listener.records(read.records(), read.end()), asked);
      }
      case ReadOutcome.Expired(long firstKept) -> {
        EventLog.info(LOGGER, PlatformEvent.RECORDS_EXPIRED, topic, firstKept);
        begun = false;
        pages = new ArrayList<>();
        readNewest(Optional.empty(), asked);
      }
      case ReadOutcome.Failed(String reason) -> {
        failed(reason);
        later(RETRY_PAUSE, () -> resume(asked));
      }
    }
  }

  private static long lastOffset(ReadOutcome.Records read) {
    return read.records().getLast().offset();
  }

  private void tookPage(ReadOutcome.Newest page, long asked) {
    if (pages.isEmpty()) {
      // Pages are no snapshot: what changes after the first one is read again from here.
      next = page.end();
    }
    pages.addAll(page.records());
    if (page.moreAfter().isPresent()) {
      readNewest(page.moreAfter(), asked);
      return;
    }
    succeeded(page.end());
    List<StreamRecord> all = pages;
    pages = new ArrayList<>();
    begun = true;
    tell(() -> listener.newest(all, page.end()), asked);
  }

  /**
   * Tells the listener and goes on. If that ends by a fault, what it was told is lost, so it is
   * told of the newest records again; without that the topic would not be read any more.
   */
  private void tell(Runnable news, long asked) {
    boolean told = false;
    try {
      news.run();
      told = true;
    } finally {
      begun = told;
      later(told ? pace.pause() : RETRY_PAUSE, () -> resume(asked));
    }
  }

  private void resume(long asked) {
    if (asked != generation) {
      return;
    }
    if (begun) {
      readOn(asked);
    } else {
      pages = new ArrayList<>();
      readNewest(Optional.empty(), asked);
    }
  }

  private void later(Duration pause, Runnable step) {
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

  /** One read under way. */
  private final class Reading implements RepeatedRead.Listener {
    private final long asked;

    Reading(long asked) {
      this.asked = asked;
    }

    @Override
    public void late(Duration time) {
      if (asked == generation) {
        StreamFollower.this.failed("no answer within " + time.toMillis() + " ms, asked again");
      }
    }

    @Override
    public void ended(ReadOutcome outcome) {
      took(outcome, asked);
    }
  }
}
