package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.maintenance.WaveState;
import org.fescuehook.logic.batch.ownership.OwnerCodec;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.FailureDomain;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's store as the scheduler of batch jobs uses it: reads ownership, configuration,
 * evacuated failure domains, maintenance waves and executors, and appends to and loads the job
 * state.
 */
public final class PlatformStore {

  private static final Logger LOGGER = LoggerFactory.getLogger(PlatformStore.class);

  /**
   * The pause is a little shorter than the interval of the owner's heartbeats, so a read returns
   * one or two of them.
   */
  private static final StreamFollower.ReadTiming OWNERSHIP_TIMING =
      new StreamFollower.ReadTiming(Duration.ofMillis(1000), Duration.ofMillis(400));

  /**
   * Configurations must be in force within 2 s and evacuations within 5 s, even if a connection has
   * stopped responding.
   */
  private static final StreamFollower.ReadTiming OPERATORS_TIMING =
      new StreamFollower.ReadTiming(Duration.ofMillis(1000), Duration.ZERO);

  /**
   * About twenty entries change per second; the pause collects several of them per read. A leaving
   * executor must get no new run after 2 s, and one that is withdrawn at short notice should get
   * none from the start.
   */
  private static final StreamFollower.ReadTiming EXECUTORS_TIMING =
      new StreamFollower.ReadTiming(Duration.ofMillis(1000), Duration.ofMillis(150));

  private final EventLoop loop;
  private final Consumer<BatchEvent> events;
  private final Consumer<RouteTable> routes;
  private final ConfigurationAge configurationAge;
  private final Map<StreamName, StreamAppender> appenders = new EnumMap<>(StreamName.class);
  private final StoreReader stateReader;
  private final StreamFollower ownership;
  private final StreamFollower operators;
  private final StreamFollower executors;
  private final ConfigurationEntries configurations = new ConfigurationEntries();
  private final EvacuationEntries evacuations = new EvacuationEntries();
  private final WaveEntries waves = new WaveEntries();

  /**
   * Creates the adapter without sending any request.
   *
   * @param events receives what was read and the outcomes of appends, on the event loop
   * @param routes receives each newer table of routes, on the event loop
   * @param configurationAge is told of each read of the operators' stream
   */
  public PlatformStore(
      EventLoop loop,
      InetSocketAddress address,
      Consumer<BatchEvent> events,
      Consumer<RouteTable> routes,
      ConfigurationAge configurationAge) {
    this.configurationAge = configurationAge;
    this.loop = loop;
    this.events = events;
    this.routes = routes;
    ResponseTimeEstimator readTimes = new ResponseTimeEstimator(RepeatedRead.NEVER_LATE);
    for (StreamName stream : StreamName.values()) {
      appenders.put(stream, new StreamAppender(loop, address, Topic.of(stream), readTimes));
    }
    this.stateReader = new StoreReader(loop, address, readTimes);
    this.ownership =
        new StreamFollower(
            loop, address, readTimes, Topic.OWNERSHIP, OWNERSHIP_TIMING, new OwnershipListener());
    this.operators =
        new StreamFollower(
            loop, address, readTimes, Topic.OPERATORS, OPERATORS_TIMING, new OperatorsListener());
    this.executors =
        new StreamFollower(
            loop, address, readTimes, Topic.EXECUTORS, EXECUTORS_TIMING, new ExecutorsListener());
  }

  /** Starts following the operators' and the ownership records. */
  public void start() {
    operators.start();
    ownership.start();
  }

  /** Stops following all topics. */
  public void stop() {
    operators.stop();
    ownership.stop();
    executors.stop();
  }

  /** Starts or stops following the executors' entries. */
  public void followExecutors(boolean following) {
    if (following) {
      executors.start();
    } else {
      executors.stop();
    }
  }

  /** Appends records; the outcome is reported as an event. */
  public void append(BatchCommand.Append append) {
    loop.execute(
        () -> appenders.get(append.stream()).append(append, outcome -> appended(append, outcome)));
  }

  /** Writes the states of waves for operators; the outcome is reported as an event. */
  public void reportWaves(BatchCommand.ReportWaves report) {
    List<KeyedRecord> records =
        report.states().entrySet().stream()
            .map(state -> new KeyedRecord(WaveEntries.key(state.getKey()), status(state)))
            .toList();
    append(
        new BatchCommand.Append(
            StreamName.STATUS, report.position(), OptionalLong.empty(), records));
  }

  private static Optional<byte[]> status(Map.Entry<WaveId, WaveState> wave) {
    String state =
        switch (wave.getValue()) {
          case IN_PROGRESS -> "in_progress";
          case COMPLETED -> "completed";
        };
    return Optional.of(WireJson.write(WireJson.object().put("state", state)));
  }

  /** Returns how many times an append was sent again because its answer was late. */
  public long repeatedAppends() {
    return appenders.values().stream().mapToLong(StreamAppender::repeatedSends).sum();
  }

  private void appended(BatchCommand.Append append, AppendOutcome outcome) {
    if (!(outcome instanceof AppendOutcome.Stored)) {
      EventLog.warn(
          LOGGER,
          PlatformEvent.APPEND_TROUBLE,
          append.position().epoch(),
          append.position().sequence(),
          append.stream(),
          outcome);
    }
    events.accept(new BatchEvent.Appended(append.stream(), append.position(), outcome));
  }

  /** Reads a page of the job state; the records are reported as an event. */
  public void loadState(BatchCommand.LoadState load) {
    loop.execute(
        () ->
            stateReader.newest(Topic.STATE, load.afterKey(), new StatePageListener(load.epoch())));
  }

  /** Reports the outcome of reading a page of the job state. */
  private final class StatePageListener implements RepeatedRead.Listener {
    private final long epoch;

    StatePageListener(long epoch) {
      this.epoch = epoch;
    }

    @Override
    public void late(Duration time) {
      String late = "late after " + time.toMillis() + " ms, asked again";
      EventLog.warn(LOGGER, PlatformEvent.STREAM_LOST, Topic.STATE, "load", late);
    }

    @Override
    public void ended(ReadOutcome outcome) {
      stateRead(epoch, outcome);
    }
  }

  private void stateRead(long epoch, ReadOutcome outcome) {
    if (outcome instanceof ReadOutcome.Newest page) {
      List<KeyedRecord> records =
          page.records().stream()
              .map(record -> new KeyedRecord(record.key(), record.value()))
              .toList();
      events.accept(new BatchEvent.StateRead(epoch, records, page.moreAfter()));
      return;
    }
    EventLog.warn(LOGGER, PlatformEvent.STREAM_LOST, Topic.STATE, "load", outcome);
    events.accept(new BatchEvent.StateUnreadable(epoch));
  }

  static void logUnreadable(Topic topic, String key, Throwable cause) {
    String message =
        cause instanceof MalformedMessageException ? cause.getMessage() : cause.toString();
    EventLog.warn(LOGGER, PlatformEvent.RECORD_UNREADABLE, key, topic, message);
  }

  private final class OwnershipListener implements StreamFollower.Listener {
    @Override
    public void newest(List<StreamRecord> records, long end) {
      records(records, end);
    }

    @Override
    public void records(List<StreamRecord> records, long end) {
      Optional<OwnerRecord> newest = Optional.empty();
      for (StreamRecord record : records) {
        if (record.key().equals(OwnerCodec.KEY) && record.value().isPresent()) {
          Optional<OwnerRecord> decoded = decode(record);
          newest = decoded.isPresent() ? decoded : newest;
        }
      }
      events.accept(new BatchEvent.OwnershipRead(newest, end));
    }

    private Optional<OwnerRecord> decode(StreamRecord record) {
      try {
        return Optional.of(OwnerCodec.decode(record.value().orElseThrow(), record.offset()));
      } catch (UnreadableRecordException e) {
        logUnreadable(Topic.OWNERSHIP, record.key(), e);
        return Optional.empty();
      }
    }

    @Override
    public void failed() {
      events.accept(new BatchEvent.OwnershipUnreadable());
    }
  }

  private final class OperatorsListener implements StreamFollower.Listener {
    private OptionalLong lastReadAt = OptionalLong.empty();
    private Optional<Set<FailureDomain>> reported = Optional.empty();
    private List<MaintenanceWave> reportedWaves = List.of();

    @Override
    public void newest(List<StreamRecord> records, long end) {
      evacuations.replace(records);
      waves.replace(records);
      apply(records, end);
      readToEnd();
    }

    @Override
    public void records(List<StreamRecord> records, long end) {
      evacuations.apply(records);
      waves.apply(records);
      apply(records, end);
      if (records.isEmpty() || records.getLast().offset() + 1 >= end) {
        readToEnd();
      }
    }

    private void apply(List<StreamRecord> records, long end) {
      // A VM that knows the evacuated failure domains knows the waves as well.
      reportWaves();
      reportEvacuations(end);
      configurations
          .newest(records)
          .ifPresent(
              parsed -> {
                routes.accept(parsed.routes());
                events.accept(new BatchEvent.ConfigurationRead(parsed.configuration()));
              });
    }

    /** Reports a read to the end, after what it returned. */
    private void readToEnd() {
      configurationAge.read(operators.readSentAt());
      events.accept(new BatchEvent.OperatorsRead(operators.readSentAt()));
    }

    private void reportWaves() {
      List<MaintenanceWave> asked = waves.waves();
      if (!asked.equals(reportedWaves)) {
        reportedWaves = asked;
        events.accept(new BatchEvent.WavesRead(asked));
      }
    }

    private void reportEvacuations(long end) {
      long now = System.nanoTime();
      OptionalLong unreadNanos =
          lastReadAt.isPresent()
              ? OptionalLong.of(now - lastReadAt.getAsLong())
              : OptionalLong.empty();
      lastReadAt = OptionalLong.of(now);
      Optional<Set<FailureDomain>> domains = Optional.of(evacuations.domains());
      if (!domains.equals(reported)) {
        reported = domains;
        events.accept(new BatchEvent.EvacuationsRead(domains.get(), end, unreadNanos));
      }
    }

    @Override
    public void failed() {
      // What was read stays in force while the store is unreachable.
    }
  }

  private final class ExecutorsListener implements StreamFollower.Listener {
    private final ListedExecutors listed = new ListedExecutors();

    @Override
    public void newest(List<StreamRecord> records, long end) {
      events.accept(listed.replace(records));
    }

    @Override
    public void records(List<StreamRecord> records, long end) {
      listed.changes(records).forEach(events);
    }

    @Override
    public void failed() {
      // Executors are polled directly, so their list is not needed until the store is reachable
      // again.
    }
  }
}
