package org.fescuehook.platform;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.logic.ini.ValueType;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/**
 * Parses the entry in which an executor describes itself. Other programs may write entries too, so
 * an entry with a missing field, a field of another type or an unknown state is rejected.
 */
final class ExecutorParser {

  private static final String STATE_READY = "ready";
  private static final String STATE_LEAVING = "draining";
  private static final ValueType<InetSocketAddress> ADDRESS = Addresses.fromPort(1);

  private ExecutorParser() {}

  /**
   * Parses an entry.
   *
   * @throws MalformedMessageException if the entry does not describe an executor
   */
  static ExecutorProfile parse(String id, byte[] text) throws MalformedMessageException {
    if (id.isBlank()) {
      throw new MalformedMessageException("an executor without a name");
    }
    WireFields fields = new WireFields("executor " + id, WireJson.parse(text));
    checkUnused(fields);
    // The first label is the kind of executor, the last one is its rack.
    List<String> labels = fields.texts("labels");
    if (labels.isEmpty()) {
      throw new MalformedMessageException("executor " + id + " has no rack");
    }
    WireFields capacity = fields.inner("capacity");
    return new ExecutorProfile(
        new Incarnation(new ExecutorId(id), fields.numberIfPresent("born")),
        address(fields.text("address")),
        fields.text("service"),
        new FailureDomain(fields.text("zone")),
        new RackId(labels.getLast()),
        new HashSet<>(labels),
        new ResourceVector(capacity.count("cpu"), capacity.count("memMb"), capacity.count("gpu")),
        leaving(fields),
        fields.has("remainingMs") ? fields.millis("remainingMs") : 0);
  }

  /**
   * Checks fields that are not used here. If one is missing or of another type, another program
   * wrote the entry.
   */
  private static void checkUnused(WireFields fields) throws MalformedMessageException {
    fields.text("version");
    fields.count("slots");
    fields.millis("coldLeftMs");
    fields.number("sequence");
  }

  private static boolean leaving(WireFields fields) throws MalformedMessageException {
    String state = fields.text("state");
    return switch (state) {
      case STATE_READY -> false;
      case STATE_LEAVING -> true;
      default -> throw new MalformedMessageException(fields.subject() + ": state '" + state + "'");
    };
  }

  private static InetSocketAddress address(String text) throws MalformedMessageException {
    try {
      return ADDRESS.reader().read(text);
    } catch (MalformedValueException e) {
      throw new MalformedMessageException("address '" + text + "' " + e.getMessage(), e);
    }
  }
}
