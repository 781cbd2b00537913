package org.fescuehook.bench.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads what a process has used so far from the kernel's accounting.
 *
 * @param pid id of the process
 */
record ProcessMeter(long pid) {
  /** Clock ticks of the kernel's accounting in a second, as on all common systems. */
  private static final double TICKS = 100;

  private static final int USER_TIME = 11;

  /**
   * Use so far.
   *
   * @param nanos when it was read, monotonic
   * @param cpuSeconds processor time of all threads
   * @param received bytes read by system calls, which are those of its connections in the main
   * @param sent bytes written by system calls
   * @param residentMegabytes memory in use, in units of 2^20 bytes
   */
  record Reading(
      long nanos, double cpuSeconds, long received, long sent, double residentMegabytes) {

    double seconds(Reading later) {
      return (later.nanos - nanos) / 1e9;
    }

    /** Returns the share of one core used until a later reading, in percent. */
    double corePercent(Reading later) {
      return 100 * (later.cpuSeconds - cpuSeconds) / seconds(later);
    }

    /** Returns bytes received and sent until a later reading, in units of 1,000 a second. */
    double kilobytesPerSecond(Reading later) {
      return (later.received - received + later.sent - sent) / seconds(later) / 1e3;
    }
  }

  Reading read() throws IOException {
    Path directory = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(directory.resolve("stat"), StandardCharsets.UTF_8);
    // The name of the program, in brackets, may hold spaces; fields are counted after it.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double ticks =
        Double.parseDouble(fields[USER_TIME]) + Double.parseDouble(fields[USER_TIME + 1]);
    return new Reading(
        System.nanoTime(),
        ticks / TICKS,
        field(directory.resolve("io"), "rchar:"),
        field(directory.resolve("io"), "wchar:"),
        field(directory.resolve("status"), "VmRSS:") / 1024.0);
  }

  private static long field(Path file, String name) throws IOException {
    for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
      if (line.startsWith(name)) {
        return Long.parseLong(line.substring(name.length()).replace("kB", "").trim());
      }
    }
    throw new IOException("no " + name + " in " + file);
  }
}
