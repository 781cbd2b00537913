package org.fescuehook.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Locale;

/** The log of a run: each line with its time since the beginning, to the console and to a file. */
final class SoakLog {

  private static final double MILLIS_PER_SECOND = 1000;

  private final PrintStream console;
  private final Path file;
  private final long beginMillis = now();

  SoakLog(PrintStream console, Path file) {
    this.console = console;
    this.file = file;
  }

  /** Returns the monotonic time that the stand-ins use too, in ms. */
  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized void line(String text) {
    long at = now();
    String line =
        String.format(
            Locale.ROOT, "%8.3f (%d) %s", (at - beginMillis) / MILLIS_PER_SECOND, at, text);
    console.println(line);
    append(line);
  }

  /** Writes a line without a time to the file only. */
  synchronized void detail(String text) {
    append(text);
  }

  private void append(String line) {
    try {
      Files.writeString(
          file,
          line + "\n",
          StandardCharsets.UTF_8,
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    } catch (IOException e) {
      console.println("cannot write " + file + ": " + e.getMessage());
    }
  }
}
