package org.fescuehook.standins.executor;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** How an executor treats requests. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Behaviour.Normal.class, name = "normal"),
  @JsonSubTypes.Type(value = Behaviour.Slow.class, name = "slow"),
  @JsonSubTypes.Type(value = Behaviour.Late.class, name = "late"),
  @JsonSubTypes.Type(value = Behaviour.Silent.class, name = "silent"),
  @JsonSubTypes.Type(value = Behaviour.Cut.class, name = "cut"),
  @JsonSubTypes.Type(value = Behaviour.Crossed.class, name = "crossed"),
  @JsonSubTypes.Type(value = Behaviour.Refusing.class, name = "refusing"),
  @JsonSubTypes.Type(value = Behaviour.Leaving.class, name = "leaving"),
})
public sealed interface Behaviour {

  /** Runs and answers. */
  record Normal() implements Behaviour {}

  /** Runs longer by the milliseconds given, holding the slot. */
  record Slow(long delayMs) implements Behaviour {}

  /** Runs, frees the slot, and answers only after the milliseconds given. */
  record Late(long delayMs) implements Behaviour {}

  /** Runs and never answers. */
  record Silent() implements Behaviour {}

  /** Runs, answers by half and closes the connection. */
  record Cut() implements Behaviour {}

  /** Runs and answers with the token of the request before. */
  record Crossed() implements Behaviour {}

  /** Runs nothing and says so. */
  record Refusing() implements Behaviour {}

  /** Runs nothing new and says so; what runs is finished. */
  record Leaving() implements Behaviour {}

  /** Reads the form {@code kind} or {@code kind=milliseconds} of a header. */
  static Behaviour parse(String text) {
    String[] parts = text.split("=", 2);
    long millis = parts.length == 2 ? Long.parseLong(parts[1]) : 0;
    return switch (parts[0]) {
      case "normal" -> new Normal();
      case "slow" -> new Slow(millis);
      case "late" -> new Late(millis);
      case "silent" -> new Silent();
      case "cut" -> new Cut();
      case "crossed" -> new Crossed();
      case "refusing" -> new Refusing();
      case "leaving" -> new Leaving();
      default -> throw new IllegalArgumentException("unknown behaviour " + text);
    };
  }
}
