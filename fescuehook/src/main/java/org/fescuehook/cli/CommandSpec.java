package org.fescuehook.cli;

import java.util.function.Supplier;
import org.fescuehook.cli.command.Command;

/**
 * A command that can be called.
 *
 * @param name its words, as {@code config check}
 * @param summary what it does
 * @param factory creates it with its options at their defaults
 */
record CommandSpec(String name, String summary, Supplier<Command> factory) {

  /** Returns how many arguments name the command; 0 if the arguments call another one. */
  int matches(String[] arguments) {
    String[] words = name.split(" ");
    if (arguments.length < words.length) {
      return 0;
    }
    for (int i = 0; i < words.length; i++) {
      if (!words[i].equals(arguments[i])) {
        return 0;
      }
    }
    return words.length;
  }
}
