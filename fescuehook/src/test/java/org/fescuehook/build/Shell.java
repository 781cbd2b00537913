package org.fescuehook.build;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** Runs commands in a directory with only the given environment variables. */
record Shell(Path directory, Map<String, String> environment) {

  /**
   * Holds the result of a command.
   *
   * @param code exit code
   * @param output text written to standard output and standard error
   */
  record Result(int code, String output) {}

  /** Returns the directory of the build scripts. */
  static Path scripts() {
    return Path.of(System.getProperty("basedir", ".")).resolve("../build").toAbsolutePath();
  }

  Result run(String... command) throws IOException, InterruptedException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(directory.toFile()).redirectErrorStream(true);
    builder.environment().clear();
    builder.environment().putAll(environment);
    Process process = builder.start();
    process.getOutputStream().close();
    String output =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    return new Result(process.waitFor(), output);
  }
}
