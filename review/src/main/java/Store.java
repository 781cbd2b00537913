import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: a log with keyed topics, fenced writers and long reads. */
final class Store {

  /** Limits that the settings of the deployment state. */
  static final int RECORD_BYTES = 262_144;

  static final int REQUEST_BYTES = 2_097_152;
  private static final long APPEND_MILLIS = 4;
  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final int REMEMBERED = 5;

  private final Record record;
  private final Http.Server server;
  private final Map<String, Topic> topics = new HashMap<>();
  private boolean down;
  private int tooLarge;

  private record Newest(byte[] value, long offset) {}

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();
    final Map<String, Writer> writers = new HashMap<>();
    final Object order = new Object();
  }

  private static final class Writer {
    long epoch;
    long next = -1;
    final Deque<long[]> last = new ArrayDeque<>();
  }

  Store(Record record) throws IOException {
    this.record = record;
    this.server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Begins or ends an outage, in which no call has an effect or gets an answer. */
  synchronized void setDown(boolean nowDown) {
    down = nowDown;
    record.note(nowDown ? "the store is down (silent)" : "the store is back");
    notifyAll();
  }

  /** Returns how many appends were refused since a record was larger than the store takes. */
  synchronized int tooLarge() {
    return tooLarge;
  }

  /** Writes a record of the operator or an executor; nothing is written while the store is down. */
  synchronized void put(String topic, String key, String value) {
    if (down) {
      return;
    }
    append(topic(topic), frame(key, value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  private static byte[] frame(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length)
        .put((byte) name.length).put(name).put(value).array();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, missing -> new Topic());
  }

  private static void append(Topic topic, byte[] content) {
    int keyLength = Byte.toUnsignedInt(content[0]);
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length);
    long offset = topic.records.size();
    topic.records.add(content);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, new Newest(value, offset));
    }
  }

  private Http.Answer handle(Http.Message request) throws Exception {
    synchronized (this) {
      if (down) {
        return null;
      }
    }
    Http.Answer answer =
        switch (request.path()) {
          case "/-/log-append" -> appendCall(request);
          case "/-/log-read" -> readCall(request);
          case "/-/log-newest" -> newestCall(request);
          default -> Http.Answer.json(404, "{}");
        };
    synchronized (this) {
      return down ? null : answer;
    }
  }

  private Http.Answer appendCall(Http.Message request) throws InterruptedException {
    Topic topic;
    synchronized (this) {
      topic = topic(request.parameter("topic"));
    }
    synchronized (topic.order) {
      Thread.sleep(APPEND_MILLIS);
      synchronized (this) {
        return down ? null : append(request, topic);
      }
    }
  }

  private Http.Answer append(Http.Message request, Topic topic) {
    List<byte[]> contents = new ArrayList<>();
    ByteBuffer body = ByteBuffer.wrap(request.body());
    if (request.body().length > REQUEST_BYTES) {
      tooLarge++;
      return Http.Answer.json(413, "{}");
    }
    while (body.hasRemaining()) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      contents.add(content);
      if (content.length > RECORD_BYTES) {
        tooLarge++;
        record.noteFew("the store refuses a record of " + content.length + " bytes, " + RECORD_BYTES
            + " is the most: key " + new String(content, 1, content[0], StandardCharsets.UTF_8));
        return Http.Answer.json(413, "{}");
      }
    }
    String producer = request.parameter("producer");
    long epoch = request.number("epoch", 0);
    long sequence = request.number("sequence", 0);
    Writer writer = topic.writers.computeIfAbsent(producer, missing -> new Writer());
    if (epoch < writer.epoch) {
      return Http.Answer.json(409, "{\"reason\":\"fenced\"}");
    }
    if (epoch == writer.epoch && writer.next >= 0) {
      for (long[] earlier : writer.last) {
        if (earlier[0] == sequence) {
          return stored(earlier[1], earlier[2]);
        }
      }
      if (sequence != writer.next && !contents.isEmpty()) {
        return Http.Answer.json(409, "{\"reason\":\"seq\",\"sequence\":" + writer.next + "}");
      }
    }
    long at = request.number("at", -1);
    if (at >= 0 && at != topic.records.size()) {
      return Http.Answer.json(412, "{\"endOffset\":" + topic.records.size() + "}");
    }
    if (epoch > writer.epoch) {
      writer.epoch = epoch;
      writer.next = -1;
      writer.last.clear();
    }
    long offset = topic.records.size();
    contents.forEach(content -> append(topic, content));
    if (!contents.isEmpty()) {
      writer.next = sequence + 1;
      writer.last.addLast(new long[] {sequence, offset, topic.records.size()});
      if (writer.last.size() > REMEMBERED) {
        writer.last.removeFirst();
      }
    }
    notifyAll();
    return stored(offset, topic.records.size());
  }

  private static Http.Answer stored(long offset, long end) {
    return Http.Answer.json(200, "{\"offset\":" + offset + ",\"endOffset\":" + end + "}");
  }

  private synchronized Http.Answer readCall(Http.Message request) throws InterruptedException {
    Topic topic = topic(request.parameter("topic"));
    long from = request.number("startKey", 0);
    long until = System.nanoTime() + request.number("waitMs", 0) * 1_000_000;
    while (!down && topic.records.size() <= from && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
    int bytes = 0;
    for (long i = from; i < topic.records.size() && bytes < PAGE_BYTES; i++) {
      byte[] content = topic.records.get((int) i);
      out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      out.writeBytes(content);
      bytes += content.length;
    }
    return new Http.Answer(200, "application/octet-stream", out.toByteArray());
  }

  private synchronized Http.Answer newestCall(Http.Message request) {
    Topic topic = topic(request.parameter("topic"));
    String after = request.parameter("dependsOn");
    StringBuilder items = new StringBuilder();
    int count = 0;
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Newest> entry : topic.newest.tailMap(after, after.isEmpty()).entrySet()) {
      if (count == PAGE_RECORDS || bytes > PAGE_BYTES) {
        more = true;
        break;
      }
      items.append(count == 0 ? "" : ",").append("{\"key\":\"").append(entry.getKey()).append("\",\"value\":\"")
          .append(Base64.getEncoder().encodeToString(entry.getValue().value)).append("\",\"offset\":")
          .append(entry.getValue().offset).append("}");
      count++;
      bytes += entry.getValue().value.length;
    }
    return Http.Answer.json(
        200, "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"endOffset\":" + topic.records.size() + "}");
  }
}
