package org.fescuehook.net.caller;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.DispatchCommand;
import org.fescuehook.logic.dispatch.DispatchEvent;
import org.fescuehook.logic.dispatch.OutcomeFetcher;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.net.executor.ExecutorClient;
import org.fescuehook.net.executor.ExecutorRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the commands of the dispatch core. Called by the dispatch thread, except where a method
 * says otherwise.
 */
final class CommandPerformer implements Consumer<DispatchCommand> {
  private static final Logger LOGGER = LoggerFactory.getLogger(CommandPerformer.class);

  /** Stream of the log that holds the claims and outcomes of requests. */
  static final String STREAM = "requests";

  /** Size of the largest answer that is recorded together with the outcome. */
  static final int MAX_RECORDED_BYTES = 4 << 10;

  private final ExecutorClient executors;
  private final LogAppender log;
  private final OutcomeFetcher outcomes;
  private final RequestMetrics metrics;
  private final EventSink events;
  // Event loops add a request here before they publish its event to the ring.
  private final Map<Long, OpenExchange> exchanges = new ConcurrentHashMap<>();

  /** Receives the events that result from executed commands. */
  interface EventSink {

    /** Delivers an event without blocking, from the given event loop. */
    void deliver(DispatchEvent event, EventLoop loop);

    /** Delivers an event from a thread that may block. */
    void put(DispatchEvent event);

    /** Returns an event loop for events that belong to no connection. */
    EventLoop anyLoop();
  }

  CommandPerformer(
      ExecutorClient executors,
      LogAppender log,
      OutcomeFetcher outcomes,
      RequestMetrics metrics,
      EventSink events) {
    this.executors = executors;
    this.log = log;
    this.outcomes = outcomes;
    this.metrics = metrics;
    this.events = events;
  }

  /** Registers a request, before the core receives its event. Any thread. */
  void open(long ticket, OpenExchange exchange) {
    exchanges.put(ticket, exchange);
  }

  /** Removes a request whose event could not be delivered to the core. Any thread. */
  void discard(long ticket) {
    exchanges.remove(ticket);
  }

  /**
   * Returns the connection of a dispatch to its pool, before the core handles the dispatch's end.
   */
  void dispatchEnded(long ticket) {
    Optional.ofNullable(exchanges.get(ticket))
        .flatMap(OpenExchange::takeSent)
        .ifPresent(executors::release);
  }

  /** Returns the number of requests that the dispatch thread has not finished. Any thread. */
  int openRequests() {
    return exchanges.size();
  }

  @Override
  public void accept(DispatchCommand command) {
    switch (command) {
      case DispatchCommand.Send send -> send(send);
      case DispatchCommand.Refuse refuse ->
          close(refuse.ticket())
              .refuse(new Refusal(refuse.reason(), refuse.detail(), refuse.retryAfterSeconds()));
      case DispatchCommand.AnswerRecorded recorded ->
          close(recorded.ticket())
              .answer(Answers.whole(recorded.status(), recorded.contentType(), recorded.body()));
      case DispatchCommand.Finish finish -> close(finish.ticket());
      case DispatchCommand.Append append -> append(append);
      case DispatchCommand.FetchOutcome fetch ->
          outcomes.fetch(
              fetch.claimant(),
              fetch.key(),
              reply ->
                  events.deliver(
                      new DispatchEvent.OutcomeFetched(fetch.ticket(), reply), events.anyLoop()));
      case DispatchCommand.CheckPath check ->
          executors.checkPath(
              check.executor(),
              reachable ->
                  events.deliver(
                      new DispatchEvent.PathChecked(check.executor(), reachable),
                      events.anyLoop()));
      case DispatchCommand.CloseIdle close -> executors.closeIdle(close.executor());
      case DispatchCommand.CountRetry retry -> metrics.retried(retry.reason());
      case DispatchCommand.Count count -> metrics.count(count.name(), count.tags());
      case DispatchCommand.Note note -> EventLog.info(LOGGER, note.event(), note.arguments());
    }
  }

  private CallerExchange close(long ticket) {
    OpenExchange exchange = exchanges.remove(ticket);
    exchange.request().body().release();
    return exchange.caller();
  }

  private void send(DispatchCommand.Send send) {
    OpenExchange exchange = exchanges.get(send.ticket());
    ServiceRequest.Forward forward = exchange.request();
    EventLoop loop = exchange.caller().loop();
    ExecutorRequest request =
        new ExecutorRequest(
            forward.method(),
            forward.uri(),
            forward.headers(),
            forward.body(),
            forward.attributes().organisation(),
            send.token(),
            forward.attributes().repeatable(),
            TimeUnit.MILLISECONDS.toNanos(forward.attributes().deadlineMillis()),
            send.progressMillis(),
            false,
            forward.attributes().needsClaim() ? MAX_RECORDED_BYTES : 0);
    ForwardingListener listener =
        new ForwardingListener(
            exchange.caller(),
            (end, tookMillis) ->
                events.deliver(
                    new DispatchEvent.DispatchEnded(send.ticket(), end, tookMillis), loop));
    exchange.sent(executors.send(send.executor(), loop, request, listener));
  }

  private void append(DispatchCommand.Append append) {
    boolean offered =
        log.offer(
            STREAM,
            append.record().toByteArray(),
            result -> events.put(new DispatchEvent.AppendEnded(append.append(), result)));
    if (!offered) {
      metrics.count("fescuehook.requests.appends.refused");
      LogAppender.AppendResult result =
          new LogAppender.AppendResult.NotAppended("the appender's ring is full");
      events.deliver(new DispatchEvent.AppendEnded(append.append(), result), events.anyLoop());
    }
  }
}
