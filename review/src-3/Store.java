import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: a log of topics with conditional appends, fenced producers and keyed topics,
 * with the sizes that the platform's settings name.
 */
final class Store {

  static final int RECORD_BYTES = 262_144;
  static final int REQUEST_BYTES = 2_097_152;
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final int REMEMBERED_APPENDS = 5;
  private static final long APPEND_MILLIS = 4;

  private final Map<String, Topic> topics = new HashMap<>();
  private final Journal record;
  private int oversized;

  /** A record of a keyed topic at its offset; the value is empty if the key was dropped. */
  private record Kept(byte[] value, long offset) {}

  private record Remembered(long sequence, Http.Answer answer) {}

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Kept> newest = new TreeMap<>();
    final Deque<Remembered> remembered = new ArrayDeque<>();
    long epoch = -1;
    long nextSequence = -1;
  }

  Store(Journal record) {
    this.record = record;
  }

  int start() throws IOException {
    return Http.serve(this::handle);
  }

  /** Returns how many appends were refused because of a record above the limit. */
  synchronized int oversized() {
    return oversized;
  }

  /** Writes a keyed record as the operator or a server does. */
  synchronized void put(String topic, String key, String value) {
    add(topic(topic), keyed(key, value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, any -> new Topic());
  }

  private static byte[] keyed(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length).put((byte) name.length).put(name).put(value).array();
  }

  private void add(Topic topic, byte[] content) {
    int length = content[0] & 0xff;
    String key = new String(content, 1, length, StandardCharsets.UTF_8);
    byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, new Kept(value, topic.records.size()));
    }
    topic.records.add(content);
  }

  private Http.Answer handle(Http.Request request) throws InterruptedException {
    return switch (request.call()) {
      case "POST /-/log-append" -> append(request);
      case "GET /-/log-read" -> read(request);
      case "GET /-/log-newest" -> newest(request);
      default -> Http.Answer.json(404, Json.map());
    };
  }

  private Http.Answer append(Http.Request request) throws InterruptedException {
    Thread.sleep(APPEND_MILLIS);
    List<byte[]> records = new ArrayList<>();
    int total = 0;
    for (ByteBuffer in = ByteBuffer.wrap(request.body()); in.remaining() >= 4; ) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      records.add(content);
      total += content.length;
      if (content.length > RECORD_BYTES) {
        return tooLarge(request, content);
      }
    }
    if (total > REQUEST_BYTES) {
      return Http.Answer.json(413, Json.map("reason", "requestBytes"));
    }
    return append(request, records);
  }

  private synchronized Http.Answer tooLarge(Http.Request request, byte[] content) {
    oversized++;
    if (oversized == 1 || oversized % 100 == 0) {
      String key = new String(content, 1, content[0], StandardCharsets.UTF_8);
      record.note("store", "append no. %d refused with 413: record %s of %d bytes, recordBytes is %d"
          .formatted(oversized, key, content.length, RECORD_BYTES));
    }
    return Http.Answer.json(413, Json.map("reason", "recordBytes"));
  }

  private synchronized Http.Answer append(Http.Request request, List<byte[]> records) {
    Topic topic = topic(request.query().get("topic"));
    boolean produced = request.query().containsKey("producer");
    long epoch = request.number("epoch", 0);
    long sequence = request.number("sequence", 0);
    if (produced && epoch < topic.epoch) {
      return Http.Answer.json(409, Json.map("reason", "fenced"));
    }
    if (produced && epoch == topic.epoch && topic.nextSequence >= 0 && sequence != topic.nextSequence) {
      for (Remembered earlier : topic.remembered) {
        if (earlier.sequence() == sequence) {
          return earlier.answer();
        }
      }
      return Http.Answer.json(409, Json.map("reason", "seq", "sequence", topic.nextSequence));
    }
    if (request.number("at", topic.records.size()) != topic.records.size()) {
      return Http.Answer.json(412, Json.map("endOffset", topic.records.size()));
    }
    if (produced && epoch > topic.epoch) {
      topic.epoch = epoch;
      topic.nextSequence = -1;
      topic.remembered.clear();
    }
    long offset = topic.records.size();
    records.forEach(content -> add(topic, content));
    Http.Answer answer = Http.Answer.json(200, Json.map("offset", offset, "endOffset", topic.records.size()));
    if (produced && !records.isEmpty()) {
      topic.nextSequence = sequence + 1;
      topic.remembered.addLast(new Remembered(sequence, answer));
      if (topic.remembered.size() > REMEMBERED_APPENDS) {
        topic.remembered.removeFirst();
      }
    }
    notifyAll();
    return answer;
  }

  private synchronized Http.Answer read(Http.Request request) throws InterruptedException {
    Topic topic = topic(request.query().get("topic"));
    long from = request.number("startKey", 0);
    long until = System.currentTimeMillis() + request.number("waitMs", 0);
    for (long left = until - System.currentTimeMillis(); topic.records.size() <= from && left > 0;
        left = until - System.currentTimeMillis()) {
      wait(left);
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
    long most = request.number("maxKb", 1024) * 1024;
    for (long i = from; i < topic.records.size() && out.size() < most; i++) {
      byte[] content = topic.records.get((int) i);
      out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      out.writeBytes(content);
    }
    return Http.Answer.raw(out.toByteArray());
  }

  private synchronized Http.Answer newest(Http.Request request) {
    Topic topic = topic(request.query().get("topic"));
    String after = request.query().getOrDefault("dependsOn", "");
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Kept> entry : topic.newest.tailMap(after, false).entrySet()) {
      if (items.size() == PAGE_ITEMS || bytes > PAGE_BYTES) {
        more = true;
        break;
      }
      Kept kept = entry.getValue();
      bytes += kept.value().length;
      String value = Base64.getEncoder().encodeToString(kept.value());
      items.add(Json.map("key", entry.getKey(), "value", value, "offset", kept.offset()));
    }
    return Http.Answer.json(200, Json.map("items", items, "hasMore", more, "endOffset", topic.records.size()));
  }
}
