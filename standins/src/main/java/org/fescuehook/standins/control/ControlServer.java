package org.fescuehook.standins.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.ServerLimits;
import org.fescuehook.standins.http.StandInServer;
import org.fescuehook.standins.worker.WorkerStandIns;

/**
 * The control port of a process: {@code POST /faults} with an object of faults by target, {@code
 * POST /silence} with a list of targets whose open connections go silent, {@code GET /journal},
 * {@code GET /stats}, and {@code GET /report?part-ms=} on the workers.
 */
public final class ControlServer implements AutoCloseable {
  private final List<StandIn> standIns;
  private final StandInServer server;

  /** Starts the control port of some stand-ins; they are not closed with it. */
  public ControlServer(EventLoopGroup group, InetSocketAddress address, List<StandIn> standIns)
      throws StandInException {
    this.standIns = List.copyOf(standIns);
    this.server = new StandInServer(group, address, ServerLimits.unlimited(), this::handle);
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Exchange exchange) {
    try {
      switch (exchange.method() + " " + exchange.path()) {
        case "POST /faults" -> applyFaults(exchange);
        case "POST /silence" -> silence(exchange);
        case "GET /journal" -> exchange.json(200, byTarget(StandIn::journal));
        case "GET /stats" -> exchange.json(200, byTarget(StandIn::stats));
        case "GET /report" -> report(exchange);
        default -> exchange.error(404, "not-found", exchange.path());
      }
    } catch (IOException e) {
      exchange.error(400, "bad-request", String.valueOf(e.getMessage()));
    }
  }

  private void applyFaults(Exchange exchange) throws IOException {
    JsonNode faults = Json.read(exchange.body(), JsonNode.class);
    for (Map.Entry<String, JsonNode> entry : faults.properties()) {
      Optional<StandIn> standIn = find(entry.getKey());
      if (standIn.isEmpty()) {
        exchange.error(400, "bad-request", "no stand-in " + entry.getKey());
        return;
      }
      standIn.get().apply(entry.getValue());
    }
    exchange.json(200, Map.of());
  }

  private void silence(Exchange exchange) throws IOException {
    List<String> targets = List.of(Json.read(exchange.body(), String[].class));
    targets.forEach(t -> find(t).ifPresent(StandIn::silenceOpenConnections));
    exchange.json(200, Map.of());
  }

  private void report(Exchange exchange) {
    for (StandIn standIn : standIns) {
      if (standIn instanceof WorkerStandIns workers) {
        exchange.json(200, workers.report(exchange.number("part-ms", 0)));
        return;
      }
    }
    exchange.error(404, "not-found", "no workers in this process");
  }

  private Optional<StandIn> find(String target) {
    return standIns.stream().filter(s -> s.target().equals(target)).findFirst();
  }

  private Map<String, Object> byTarget(Function<StandIn, Object> part) {
    Map<String, Object> parts = new LinkedHashMap<>();
    standIns.forEach(s -> parts.put(s.target(), part.apply(s)));
    return parts;
  }
}
