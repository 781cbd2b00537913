package org.fescuehook.standins.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;
import org.fescuehook.standins.worker.WorkerStandIns;

/**
 * The control server of a process, through which tests set faults and read reports. {@code POST
 * /faults} takes a JSON object that maps targets to faults, {@code POST /silence} a list of targets
 * whose open connections stop passing data. {@code GET /journal} and {@code GET /stats} return
 * reports by target, {@code GET /audit?part-ms=} the violations in the journal of the workers.
 */
public final class ControlServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 << 20;

  private final Map<String, StandIn<?>> standIns = new LinkedHashMap<>();
  private final StandInServer server;

  /** Starts the control server of some stand-ins; closing it doesn't close them. */
  public ControlServer(EventLoopGroup group, InetSocketAddress address, List<StandIn<?>> standIns)
      throws StandInException {
    standIns.forEach(s -> this.standIns.put(s.target(), s));
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_BODY_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns the address on which the control server listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Exchange exchange) throws IOException {
    switch (exchange.call()) {
      case "POST /faults" -> applyFaults(exchange);
      case "POST /silence" -> silence(exchange);
      case "GET /journal" -> exchange.reply(200, collectByTarget(StandIn::journal));
      case "GET /stats" -> exchange.reply(200, collectByTarget(StandIn::stats));
      case "GET /audit" -> audit(exchange);
      default -> exchange.error(404, "not-found", exchange.call());
    }
  }

  private void applyFaults(Exchange exchange) throws IOException {
    for (Map.Entry<String, JsonNode> faults : exchange.json(JsonNode.class).properties()) {
      find(faults.getKey()).applyJson(faults.getValue());
    }
    exchange.reply(200, Map.of());
  }

  private void silence(Exchange exchange) throws IOException {
    for (String target : exchange.json(String[].class)) {
      find(target).silenceOpenConnections();
    }
    exchange.reply(200, Map.of());
  }

  private void audit(Exchange exchange) {
    if (find("workers") instanceof WorkerStandIns workers) {
      exchange.reply(200, workers.audit(exchange.number("part-ms", 0)));
    }
  }

  private StandIn<?> find(String target) {
    StandIn<?> standIn = standIns.get(target);
    if (standIn == null) {
      throw new IllegalArgumentException("no stand-in " + target + " in this process");
    }
    return standIn;
  }

  private Map<String, Object> collectByTarget(Function<StandIn<?>, Object> value) {
    Map<String, Object> values = new LinkedHashMap<>();
    standIns.forEach((target, standIn) -> values.put(target, value.apply(standIn)));
    return values;
  }
}
