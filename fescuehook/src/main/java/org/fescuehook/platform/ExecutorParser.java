package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.logic.ini.ValueType;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.RackId;

/** Reads what an executor reports of itself. */
final class ExecutorParser {

  private static final String STATE_LEAVING = "draining";
  private static final ValueType<InetSocketAddress> ADDRESS = Addresses.fromPort(1);

  private ExecutorParser() {}

  /**
   * Parses an entry.
   *
   * @throws MalformedMessageException if it lacks an address or a rack
   */
  static ExecutorProfile parse(String id, byte[] text) throws MalformedMessageException {
    JsonNode body = WireJson.parse(text);
    // The first label is the executor's kind, the last one its rack.
    List<String> labels = new ArrayList<>();
    body.path("labels").forEach(label -> labels.add(label.asText()));
    if (labels.isEmpty()) {
      throw new MalformedMessageException("executor " + id + " has no rack");
    }
    JsonNode capacity = body.path("capacity");
    return new ExecutorProfile(
        new ExecutorId(id),
        address(body.path("address").asText()),
        body.path("service").asText(),
        new FailureDomain(body.path("zone").asText("none")),
        new RackId(labels.getLast()),
        new HashSet<>(labels),
        new Demand(
            capacity.path("cpu").asInt(),
            capacity.path("memMb").asInt(),
            capacity.path("gpu").asInt()),
        body.path("state").asText().equals(STATE_LEAVING),
        body.path("remainingMs").asLong());
  }

  private static InetSocketAddress address(String text) throws MalformedMessageException {
    try {
      return ADDRESS.reader().read(text);
    } catch (MalformedValueException e) {
      throw new MalformedMessageException("address '" + text + "' " + e.getMessage(), e);
    }
  }
}
