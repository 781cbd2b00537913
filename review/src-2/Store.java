import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: a log with keyed topics, conditional appends and fenced
 * producers. An append takes 4 ms; appends to a topic are carried out one at a time.
 */
final class Store {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int APPEND_MILLIS = 4;
  private static final int MAX_PAGE = 500;
  private static final int REMEMBERED = 5;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final Map<String, Topic> topics = new HashMap<>();
  private final Http.Server server;

  private record Newest(byte[] value, long offset) {}

  private static final class Producer {
    private long epoch;
    private long next = -1;
    private final Deque<long[]> answers = new ArrayDeque<>();
  }

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Newest> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();

    private synchronized void add(byte[] record) {
      ByteBuffer content = ByteBuffer.wrap(record);
      byte[] key = new byte[Byte.toUnsignedInt(content.get())];
      content.get(key);
      byte[] value = new byte[content.remaining()];
      content.get(value);
      String name = new String(key, StandardCharsets.UTF_8);
      if (value.length == 0) {
        newest.remove(name);
      } else {
        newest.put(name, new Newest(value, records.size()));
      }
      records.add(record);
      notifyAll();
    }
  }

  Store() throws IOException {
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Writes a record as the operator or an executor; null deletes the key. */
  void put(String topic, String key, Object value) {
    byte[] text = value == null ? new byte[0] : json(value);
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
    record.put((byte) name.length).put(name).put(text);
    topic(topic).add(record.array());
  }

  private static byte[] json(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private synchronized Topic topic(String name) {
    return topics.computeIfAbsent(name, same -> new Topic());
  }

  private Optional<Http.Response> handle(Http.Request request) throws Exception {
    Topic topic = topic(request.parameter("topic"));
    return Optional.of(
        switch (request.path()) {
          case "/-/log-append" -> append(topic, request);
          case "/-/log-read" -> read(topic, request);
          case "/-/log-newest" -> newest(topic, request);
          default -> Http.Response.of(404, new byte[0]);
        });
  }

  private static Http.Response append(Topic topic, Http.Request request) throws Exception {
    synchronized (topic.producers) {
      Thread.sleep(APPEND_MILLIS);
      synchronized (topic) {
        return appendNow(topic, request);
      }
    }
  }

  private static Http.Response appendNow(Topic topic, Http.Request request) {
    String name = request.parameter("producer");
    long epoch = request.number("epoch", 0);
    long sequence = request.number("sequence", 0);
    Producer producer = topic.producers.get(name);
    if (producer != null && epoch < producer.epoch) {
      return Http.Response.of(409, json(Map.of("reason", "fenced")));
    }
    if (producer != null && epoch == producer.epoch) {
      for (long[] earlier : producer.answers) {
        if (earlier[0] == sequence) {
          return stored(earlier[1], earlier[2]);
        }
      }
      if (producer.next >= 0 && sequence != producer.next) {
        return Http.Response.of(409, json(Map.of("reason", "seq", "sequence", producer.next)));
      }
    }
    long end = topic.records.size();
    if (!request.parameter("at").isEmpty() && request.number("at", 0) != end) {
      return Http.Response.of(412, json(Map.of("endOffset", end)));
    }
    ByteBuffer body = ByteBuffer.wrap(request.body());
    while (body.hasRemaining()) {
      byte[] record = new byte[body.getInt()];
      body.get(record);
      topic.add(record);
    }
    if (!name.isEmpty()) {
      remember(topic, name, epoch, sequence, end, request.body().length > 0);
    }
    return stored(end, topic.records.size());
  }

  private static void remember(
      Topic topic, String name, long epoch, long sequence, long offset, boolean records) {
    Producer producer = topic.producers.computeIfAbsent(name, same -> new Producer());
    if (epoch > producer.epoch) {
      producer.epoch = epoch;
      producer.next = -1;
      producer.answers.clear();
    }
    if (!records) {
      return;
    }
    producer.next = sequence + 1;
    producer.answers.addLast(new long[] {sequence, offset, topic.records.size()});
    if (producer.answers.size() > REMEMBERED) {
      producer.answers.removeFirst();
    }
  }

  private static Http.Response stored(long offset, long end) {
    return Http.Response.of(200, json(Map.of("offset", offset, "endOffset", end)));
  }

  private static Http.Response read(Topic topic, Http.Request request) throws Exception {
    long from = request.number("startKey", 0);
    long wait = Math.min(MAX_WAIT_MILLIS, request.number("waitMs", 0));
    long until = System.currentTimeMillis() + wait;
    synchronized (topic) {
      for (long left = wait; topic.records.size() <= from && left > 0; ) {
        topic.wait(left);
        left = until - System.currentTimeMillis();
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(
          ByteBuffer.allocate(2 * Long.BYTES).putLong(topic.records.size()).putLong(0).array());
      long most = request.number("maxKb", 1024) * 1024;
      for (int i = (int) from; i < topic.records.size() && out.size() < most; i++) {
        byte[] record = topic.records.get(i);
        out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).array());
        out.writeBytes(record);
      }
      return Http.Response.of(200, out.toByteArray());
    }
  }

  private static Http.Response newest(Topic topic, Http.Request request) {
    String after = request.parameter("dependsOn");
    synchronized (topic) {
      var following = after.isEmpty() ? topic.newest : topic.newest.tailMap(after, false);
      List<Map<String, Object>> items = new ArrayList<>();
      for (Map.Entry<String, Newest> entry : following.entrySet()) {
        if (items.size() == MAX_PAGE) {
          break;
        }
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", entry.getKey());
        item.put("value", Base64.getEncoder().encodeToString(entry.getValue().value()));
        item.put("offset", entry.getValue().offset());
        items.add(item);
      }
      Map<String, Object> page = new LinkedHashMap<>();
      page.put("items", items);
      page.put("hasMore", following.size() > items.size());
      page.put("endOffset", topic.records.size());
      return Http.Response.of(200, json(page));
    }
  }
}
