package org.fescuehook.net.caller;

/** Puts the number of an event before its arguments. */
final class NumberedArguments {
  private NumberedArguments() {}

  static Object[] of(int number, Object[] arguments) {
    Object[] all = new Object[arguments.length + 1];
    all[0] = number;
    System.arraycopy(arguments, 0, all, 1, arguments.length);
    return all;
  }
}
