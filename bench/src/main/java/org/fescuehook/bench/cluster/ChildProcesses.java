package org.fescuehook.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/**
 * Processes that the bench started, with settings and output in a temporary directory. All of them
 * end, by their ids, when this is closed and when the JVM ends.
 */
public final class ChildProcesses implements AutoCloseable {
  private final boolean keepFiles;
  private final Path directory;
  private final List<ChildProcess> children = new CopyOnWriteArrayList<>();
  private final Thread lastResort = new Thread(this::end, "end-processes");

  /**
   * Creates the directory; nothing is started.
   *
   * @param keepFiles whether settings and output are left
   */
  public ChildProcesses(boolean keepFiles) throws ClusterException {
    this.keepFiles = keepFiles;
    this.directory = temporaryDirectory();
    Runtime.getRuntime().addShutdownHook(lastResort);
  }

  /** Returns where settings and output are kept. */
  public Path directory() {
    return directory;
  }

  /** Starts a process with some variables added to the environment. */
  public ChildProcess launch(String name, List<String> command, Map<String, String> environment)
      throws ClusterException {
    Path output = directory.resolve(name + "." + children.size() + ".log");
    ChildProcess process = ChildProcess.start(name, command, environment, output);
    children.add(process);
    return process;
  }

  /** Writes a file of settings. */
  public Path write(String file, String text) throws ClusterException {
    try {
      return Files.writeString(directory.resolve(file), text);
    } catch (IOException e) {
      throw new ClusterException("write", file, e);
    }
  }

  /** Ends all processes at once and deletes their files, unless these are to be kept. */
  @Override
  public void close() {
    end();
    Runtime.getRuntime().removeShutdownHook(lastResort);
  }

  private void end() {
    killAll();
    if (!keepFiles) {
      deleteFiles();
    }
  }

  private void killAll() {
    for (ChildProcess child : children) {
      try {
        child.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void deleteFiles() {
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      System.err.println("cannot delete " + directory + ": " + e.getMessage());
    }
  }

  private static Path temporaryDirectory() throws ClusterException {
    try {
      return Files.createTempDirectory("fescuehook-bench");
    } catch (IOException e) {
      throw new ClusterException("create", "temporary directory", e);
    }
  }
}
