package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpClientConnection;
import org.fescuehook.net.http.HttpResult;

/**
 * Client of the platform's store with one connection, which carries one call at a time. Concurrent
 * calls need several clients. The connection is closed if an answer is not complete in time.
 */
final class StoreClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private static final String PRODUCER = "fescuehook";
  private static final String RAW = "application/octet-stream";

  /** Reason with which the store rejects an epoch lower than one it has seen. */
  private static final String REASON_FENCED = "fenced";

  private final HttpClientConnection connection;

  StoreClient(EventLoop loop, InetSocketAddress store) {
    this.connection = new HttpClientConnection(loop, store, CONNECT_TIMEOUT);
  }

  void close() {
    connection.close();
  }

  /** Returns whether a part of the pending answer has arrived within the given last period. */
  boolean heardWithin(Duration time) {
    return connection.heardWithin(time);
  }

  /**
   * Returns the time from the last request to the first part of its answer; zero if none has
   * arrived.
   */
  long firstPartNanos() {
    return connection.firstPartNanos();
  }

  /** Appends framed records. The complete answer has to arrive within the limit. */
  void append(
      Topic topic,
      WriterPosition position,
      OptionalLong expectedEnd,
      byte[] records,
      Duration limit,
      Consumer<AppendOutcome> sink) {
    StringBuilder target =
        new StringBuilder("/-/log-append?")
            .append(partition(topic))
            .append("&producer=")
            .append(PRODUCER)
            .append("&epoch=")
            .append(position.epoch())
            .append("&sequence=")
            .append(position.sequence());
    expectedEnd.ifPresent(end -> target.append("&at=").append(end));
    HttpCall call = new HttpCall(HttpMethod.POST, target.toString(), RAW, records);
    connection.send(call, limit, result -> sink.accept(appended(result)));
  }

  private static AppendOutcome appended(HttpResult result) {
    return switch (result) {
      case HttpResult.Failed failed when !failed.maybeSent() ->
          new AppendOutcome.Refused(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Failed failed ->
          new AppendOutcome.Unanswered(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Answered answered -> appended(answered);
    };
  }

  private static AppendOutcome appended(HttpResult.Answered answer) {
    try {
      return switch (answer.status()) {
        case 200 -> new AppendOutcome.Stored(WireJson.parse(answer.body()).path("offset").asLong());
        case 409 -> rejected(WireJson.parse(answer.body()));
        case 412 ->
            new AppendOutcome.Conflict(WireJson.parse(answer.body()).path("endOffset").asLong());
        // With these statuses the store states that nothing was stored.
        case 400, 403, 413, 429, 503, 507 -> new AppendOutcome.Refused("status " + answer.status());
        default -> new AppendOutcome.Unanswered("status " + answer.status());
      };
    } catch (MalformedMessageException e) {
      return new AppendOutcome.Unanswered(e.getMessage());
    }
  }

  private static AppendOutcome rejected(JsonNode body) {
    if (REASON_FENCED.equals(body.path("reason").asText())) {
      return new AppendOutcome.Fenced();
    }
    return new AppendOutcome.OutOfSequence(body.path("sequence").asLong());
  }

  /** Reads records from an offset on. The store waits up to the given time for the first one. */
  void read(Topic topic, long from, Duration wait, Duration limit, Consumer<ReadOutcome> sink) {
    String target =
        "/-/log-read?" + partition(topic) + "&startKey=" + from + "&waitMs=" + wait.toMillis();
    HttpCall call = HttpCall.without(HttpMethod.GET, target);
    connection.send(call, limit, result -> sink.accept(read(result, from)));
  }

  private static ReadOutcome read(HttpResult result, long from) {
    return switch (result) {
      case HttpResult.Failed failed ->
          new ReadOutcome.Failed(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Answered answered -> read(answered, from);
    };
  }

  private static ReadOutcome read(HttpResult.Answered answer, long from) {
    try {
      return switch (answer.status()) {
        case 200 -> RecordFraming.decode(answer.body(), from);
        case 404 -> new ReadOutcome.Records(List.of(), 0, from);
        case 410 ->
            new ReadOutcome.Expired(WireJson.parse(answer.body()).path("startOffset").asLong());
        default -> new ReadOutcome.Failed("status " + answer.status());
      };
    } catch (MalformedMessageException e) {
      return new ReadOutcome.Failed(e.getMessage());
    }
  }

  /**
   * Reads a page of the newest record of each key.
   *
   * @param start where the page begins, from the page before it; absent for the first page
   */
  void newest(Topic topic, Optional<String> start, Duration limit, Consumer<ReadOutcome> sink) {
    StringBuilder target = new StringBuilder("/-/log-newest?").append(partition(topic));
    // The store's protocol uses this parameter for the key after which a page begins.
    start.ifPresent(key -> target.append("&dependsOn=").append(key));
    HttpCall call = HttpCall.without(HttpMethod.GET, target.toString());
    connection.send(call, limit, result -> sink.accept(newest(result, start)));
  }

  private static ReadOutcome newest(HttpResult result, Optional<String> start) {
    return switch (result) {
      case HttpResult.Failed failed ->
          new ReadOutcome.Failed(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Answered answered when answered.status() == 404 ->
          new ReadOutcome.Newest(List.of(), Optional.empty(), 0);
      case HttpResult.Answered answered when !answered.succeeded() ->
          new ReadOutcome.Failed("status " + answered.status());
      case HttpResult.Answered answered -> newest(answered, start);
    };
  }

  private static ReadOutcome newest(HttpResult.Answered answer, Optional<String> start) {
    try {
      JsonNode body = WireJson.parse(answer.body());
      List<StreamRecord> records = new ArrayList<>();
      for (JsonNode item : body.path("items")) {
        byte[] value = Base64.getDecoder().decode(item.path("value").asText());
        Optional<byte[]> kept = value.length == 0 ? Optional.empty() : Optional.of(value);
        records.add(
            new StreamRecord(item.path("offset").asLong(), item.path("key").asText(), kept));
      }
      boolean more = body.path("hasMore").asBoolean() && !records.isEmpty();
      Optional<String> moreAfter =
          more
              ? Optional.of(PageStart.after(records.stream().map(StreamRecord::key).toList()))
              : Optional.empty();
      if (more && moreAfter.equals(start)) {
        return new ReadOutcome.Failed("the page after '" + start.get() + "' is followed by itself");
      }
      return new ReadOutcome.Newest(records, moreAfter, body.path("endOffset").asLong());
    } catch (MalformedMessageException | IllegalArgumentException e) {
      return new ReadOutcome.Failed(String.valueOf(e.getMessage()));
    }
  }

  private static String partition(Topic topic) {
    return "topic=" + encode(topic.wireName()) + "&part=" + Topic.PARTITION;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
