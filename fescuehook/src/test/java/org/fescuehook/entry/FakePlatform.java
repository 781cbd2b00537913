package org.fescuehook.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fake of the log, the list of VMs and one executor behind one address, and of one worker behind
 * another address.
 */
final class FakePlatform implements AutoCloseable {

  private final ObjectMapper mapper = new ObjectMapper();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final HttpServer server;
  private final HttpServer worker;
  private final Map<String, List<byte[]>> streams = new ConcurrentHashMap<>();
  private final Map<String, String> leases = new ConcurrentHashMap<>();
  private final Map<String, InetSocketAddress> entries = new ConcurrentHashMap<>();
  private final AtomicInteger nextLease = new AtomicInteger();
  private final AtomicInteger starts = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();

  FakePlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/streams/", this::log);
    server.createContext("/members", this::members);
    server.createContext("/", this::run);
    server.start();
    worker = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    worker.setExecutor(threads);
    worker.createContext("/leases", this::lease);
    worker.createContext("/renewals", this::renew);
    worker.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  InetSocketAddress workerAddress() {
    return worker.getAddress();
  }

  /** Adds an entry VM to the list of VMs. */
  void list(String vm, InetSocketAddress peerPort) {
    entries.put(vm, peerPort);
  }

  /** Returns the number of started tasks. */
  int starts() {
    return starts.get();
  }

  /** Returns the number of requests that the executor has run. */
  int runs() {
    return runs.get();
  }

  @Override
  public void close() {
    server.stop(0);
    worker.stop(0);
    threads.shutdownNow();
  }

  private void log(HttpExchange exchange) throws IOException {
    String stream = exchange.getRequestURI().getPath().split("/")[2];
    List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
    if (exchange.getRequestMethod().equals("POST")) {
      answer(exchange, 200, append(records, exchange.getRequestBody().readAllBytes()));
      return;
    }
    answer(exchange, 200, read(records, exchange.getRequestURI().getQuery()));
  }

  private ObjectNode append(List<byte[]> records, byte[] record) {
    synchronized (records) {
      records.add(record);
      records.notifyAll();
      return mapper.createObjectNode().put("offset", records.size() - 1);
    }
  }

  private ObjectNode read(List<byte[]> records, String query) {
    int from = number(query, "from");
    ObjectNode page = mapper.createObjectNode().put("earliest", 0);
    synchronized (records) {
      awaitRecord(records, from, number(query, "wait-ms"));
      page.put("next", records.size());
      ArrayNode found = page.putArray("records");
      for (int i = from; i < records.size(); i++) {
        found
            .addObject()
            .put("offset", i)
            .put("data", Base64.getEncoder().encodeToString(records.get(i)));
      }
    }
    return page;
  }

  private static void awaitRecord(List<byte[]> records, int from, int waitMillis) {
    long deadline = System.nanoTime() + waitMillis * 1_000_000L;
    try {
      while (records.size() <= from && System.nanoTime() < deadline) {
        records.wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int number(String query, String name) {
    for (String part : query.split("&")) {
      if (part.startsWith(name + "=")) {
        return Integer.parseInt(part.substring(name.length() + 1));
      }
    }
    return 0;
  }

  private void members(HttpExchange exchange) throws IOException {
    ObjectNode list = mapper.createObjectNode().put("asOf", 0);
    ArrayNode members = list.putArray("members");
    entries.forEach(
        (name, address) ->
            members
                .addObject()
                .put("name", name)
                .put("role", "entry")
                .put("state", "live")
                .put("host", address.getAddress().getHostAddress())
                .put("port", address.getPort()));
    answer(exchange, 200, list);
  }

  private void lease(HttpExchange exchange) throws IOException {
    String[] path = exchange.getRequestURI().getPath().split("/");
    if (path.length == 2) {
      String lease = "lease-" + nextLease.incrementAndGet();
      leases.put(lease, "held");
      answer(exchange, 201, mapper.createObjectNode().put("lease", lease));
      return;
    }
    if (exchange.getRequestMethod().equals("DELETE")) {
      leases.remove(path[2]);
    } else if ("held".equals(leases.replace(path[2], "finished"))) {
      starts.incrementAndGet();
    }
    answer(exchange, 200, mapper.createObjectNode());
  }

  private void renew(HttpExchange exchange) throws IOException {
    ObjectNode answer = mapper.createObjectNode();
    ArrayNode states = answer.putArray("states");
    ArrayNode gone = answer.putArray("gone");
    for (JsonNode lease : mapper.readTree(exchange.getRequestBody()).path("leases")) {
      String state = leases.get(lease.asText());
      if (state == null) {
        gone.add(lease.asText());
      } else {
        states.addObject().put("lease", lease.asText()).put("state", state).put("exitCode", 0);
      }
    }
    answer(exchange, 200, answer);
  }

  private void run(HttpExchange exchange) throws IOException {
    runs.incrementAndGet();
    byte[] body = exchange.getRequestBody().readAllBytes();
    String token = exchange.getRequestHeaders().getFirst("Request-Token");
    if (token != null) {
      exchange.getResponseHeaders().set("Request-Token", token);
    }
    send(exchange, 200, body);
  }

  private static void answer(HttpExchange exchange, int status, ObjectNode body)
      throws IOException {
    send(exchange, status, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    try (exchange) {
      exchange.getResponseBody().write(body);
    }
  }
}
