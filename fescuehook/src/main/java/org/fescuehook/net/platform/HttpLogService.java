package org.fescuehook.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.platform.LogService;
import org.fescuehook.logic.platform.LogUnavailableException;
import org.fescuehook.model.log.LogPage;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.net.http.BlockingHttpClient;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpCallException;
import org.fescuehook.net.http.HttpResult;

/** Accesses the log service over one HTTP connection. An instance is used by one duty thread. */
public final class HttpLogService implements LogService {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String OCTETS = "application/octet-stream";

  private final InetSocketAddress address;
  private final Duration timeout;
  private final BlockingHttpClient client;

  /**
   * Creates the adapter; the connection is opened by the first call.
   *
   * @param timeout time within which an answer must arrive, added to the wait of a read
   */
  public HttpLogService(EventLoop loop, InetSocketAddress address, Duration timeout) {
    this.address = address;
    this.timeout = timeout;
    this.client = new BlockingHttpClient(loop, address, timeout);
  }

  @Override
  public long append(String stream, byte[] data) throws LogUnavailableException {
    String step = "append " + stream;
    HttpCall call = new HttpCall(HttpMethod.POST, "/streams/" + stream + "/records", OCTETS, data);
    JsonNode offset = parse(step, call(step, call, timeout), true).path("offset");
    if (!offset.isIntegralNumber()) {
      throw unavailable(step, true, new IOException("answer without an offset"));
    }
    return offset.longValue();
  }

  @Override
  public LogPage read(String stream, long from, int max, Duration wait)
      throws LogUnavailableException {
    String step = "read " + stream;
    String target =
        "/streams/%s/records?from=%d&max=%d&wait-ms=%d"
            .formatted(stream, from, max, wait.toMillis());
    HttpCall call = HttpCall.without(HttpMethod.GET, target);
    JsonNode page = parse(step, call(step, call, timeout.plus(wait)), false);
    try {
      return page(page);
    } catch (IOException | IllegalArgumentException e) {
      throw unavailable(step, false, e);
    }
  }

  private byte[] call(String step, HttpCall call, Duration limit) throws LogUnavailableException {
    HttpResult.Answered answer;
    try {
      answer = client.call(call, limit);
    } catch (HttpCallException e) {
      throw unavailable(step, e.mayHaveTakenEffect(), e);
    }
    if (answer.succeeded()) {
      return answer.body();
    }
    boolean refusedWithoutEffect = answer.status() < 500 || answer.status() == 503;
    throw unavailable(step, !refusedWithoutEffect, new IOException("status " + answer.status()));
  }

  private JsonNode parse(String step, byte[] body, boolean mayHaveTakenEffect)
      throws LogUnavailableException {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw unavailable(step, mayHaveTakenEffect, e);
    }
  }

  private static LogPage page(JsonNode page) throws IOException {
    if (!page.path("earliest").isIntegralNumber() || !page.path("next").isIntegralNumber()) {
      throw new IOException("page without earliest and next");
    }
    List<LogRecord> records = new ArrayList<>();
    for (JsonNode record : page.path("records")) {
      records.add(
          new LogRecord(
              record.required("offset").longValue(),
              record.path("appended").longValue(),
              record.required("data").binaryValue()));
    }
    return new LogPage(page.path("earliest").longValue(), page.path("next").longValue(), records);
  }

  private LogUnavailableException unavailable(
      String step, boolean mayHaveTakenEffect, Throwable cause) {
    return new LogUnavailableException(step, address.toString(), mayHaveTakenEffect, cause);
  }
}
