import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the advice service. It allows every executor, handles one call at a time, and answers
 * after the time that the configuration of the queue names.
 */
final class Advice {

  static final int DECISION_MILLIS = 500;
  static final int PERIOD_MILLIS = 20;
  static final int VALIDITY_MILLIS = 3000;
  private static final int MOST_WAITING = 32;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Record record;
  private final Map<String, Long> validUntil = new ConcurrentHashMap<>();
  private final Http.Server server;
  private int waiting;

  Advice(Record record) throws IOException {
    this.record = record;
    this.server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Returns whether a ticket permits a step to run on an executor now. */
  boolean permits(String step, String executor, String ticket) {
    Long until = validUntil.get(step + "@" + executor + "@" + ticket);
    return until != null && System.nanoTime() < until;
  }

  private Optional<Http.Response> handle(Http.Request request) throws Exception {
    synchronized (validUntil) {
      if (waiting == MOST_WAITING) {
        return Optional.of(Http.Response.of(429, new byte[0]));
      }
      waiting++;
    }
    try {
      return Optional.of(advise(JSON.readTree(request.body())));
    } finally {
      synchronized (validUntil) {
        waiting--;
      }
    }
  }

  private synchronized Http.Response advise(JsonNode body) throws Exception {
    String step = body.path("stepId").asText();
    Thread.sleep(DECISION_MILLIS + (long) PERIOD_MILLIS * body.path("workers").size());
    List<List<String>> allowed = new ArrayList<>();
    long until = System.nanoTime() + VALIDITY_MILLIS * 1_000_000L;
    for (JsonNode worker : body.path("workers")) {
      String ticket = Long.toHexString(System.nanoTime());
      validUntil.put(step + "@" + worker.asText() + "@" + ticket, until);
      allowed.add(List.of(worker.asText(), ticket));
    }
    record.write("advice on " + step + " for " + allowed.size() + " executors");
    return Http.Response.of(
        200, JSON.writeValueAsBytes(Map.of("allowed", allowed, "validityMs", VALIDITY_MILLIS)));
  }
}
