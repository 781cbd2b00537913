package org.fescuehook.cli;

import java.util.function.Supplier;
import org.fescuehook.cli.command.Command;

/**
 * Describes a command that the command line can name.
 *
 * @param name words that select the command, such as {@code config check}
 * @param summary one line for the help text that says what the command does
 * @param factory creates the command with all options at their defaults
 */
record CommandSpec(String name, String summary, Supplier<Command> factory) {

  /** Returns how many arguments the command's name takes up; 0 if they name another command. */
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
