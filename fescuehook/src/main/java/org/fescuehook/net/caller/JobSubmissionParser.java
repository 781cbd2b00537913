package org.fescuehook.net.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;

/** Parses the JSON document of a job submission, and rejects unknown fields. */
final class JobSubmissionParser {
  private static final int MAX_TEXT_LENGTH = 4096;
  private static final Set<String> FIELDS =
      Set.of(
          "organisation",
          "members",
          "accelerators",
          "cores",
          "memoryMegabytes",
          "maxRacks",
          "runTimeSeconds",
          "urgent",
          "checkpointable",
          "command");

  private final ObjectMapper mapper;

  JobSubmissionParser(ObjectMapper mapper) {
    this.mapper = mapper;
  }

  ControlPort.Request.Submit parse(byte[] json, Optional<String> requestId)
      throws MalformedRequestException {
    JsonNode document = read(json);
    refuseUnknownFields(document);
    Capacity perMember =
        new Capacity(
            (int) number(document, "accelerators", 0, Integer.MAX_VALUE, Optional.empty()),
            (int) number(document, "cores", 0, Integer.MAX_VALUE, Optional.of(0L)),
            number(document, "memoryMegabytes", 0, Long.MAX_VALUE, Optional.of(0L)));
    int members = (int) number(document, "members", 1, Shape.MAX_MEMBERS, Optional.empty());
    int maxRacks = (int) number(document, "maxRacks", 0, Shape.MAX_MEMBERS, Optional.of(0L));
    return new ControlPort.Request.Submit(
        new OrganisationId(text(document, "organisation")),
        requestId,
        new Shape(members, perMember, maxRacks),
        flag(document, "urgent"),
        flag(document, "checkpointable"),
        number(document, "runTimeSeconds", 1, Integer.MAX_VALUE, Optional.empty()),
        text(document, "command"));
  }

  private JsonNode read(byte[] json) throws MalformedRequestException {
    JsonNode document;
    try {
      document = mapper.readTree(json);
    } catch (IOException e) {
      throw new MalformedRequestException("the body is no JSON");
    }
    if (!document.isObject()) {
      throw new MalformedRequestException("the body is no JSON object");
    }
    return document;
  }

  private static void refuseUnknownFields(JsonNode document) throws MalformedRequestException {
    Iterator<String> names = document.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!FIELDS.contains(name)) {
        throw new MalformedRequestException("unknown field " + name);
      }
    }
  }

  private static long number(
      JsonNode document, String name, long least, long most, Optional<Long> absent)
      throws MalformedRequestException {
    JsonNode value = document.path(name);
    if (value.isMissingNode() && absent.isPresent()) {
      return absent.get();
    }
    boolean inBounds =
        value.canConvertToLong()
            && value.isIntegralNumber()
            && value.longValue() >= least
            && value.longValue() <= most;
    if (!inBounds) {
      throw new MalformedRequestException(
          name + " must be a whole number from " + least + " to " + most);
    }
    return value.longValue();
  }

  private static boolean flag(JsonNode document, String name) throws MalformedRequestException {
    JsonNode value = document.path(name);
    if (value.isMissingNode()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw new MalformedRequestException(name + " must be true or false");
    }
    return value.booleanValue();
  }

  private static String text(JsonNode document, String name) throws MalformedRequestException {
    JsonNode value = document.path(name);
    boolean usable =
        value.isTextual()
            && !value.textValue().isBlank()
            && value.textValue().length() <= MAX_TEXT_LENGTH;
    if (!usable) {
      throw new MalformedRequestException(
          name + " must be a text of 1 to " + MAX_TEXT_LENGTH + " characters");
    }
    return value.textValue();
  }
}
