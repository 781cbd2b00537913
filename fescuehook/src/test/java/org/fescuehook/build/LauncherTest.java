package org.fescuehook.build;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks how a program's launcher script finds Java; scripts stand in for the java binary. */
class LauncherTest {

  @TempDir Path root;
  private Path launcher;

  @BeforeEach
  void copyLauncherWithSearchDirectoriesBelowRoot() throws IOException {
    String script = Files.readString(Shell.scripts().resolve("launcher.sh"));
    launcher = root.resolve("program");
    Files.writeString(
        launcher,
        script
            .replace("/usr/lib/jvm/", root + "/jvm/")
            .replace("/usr/java/", root + "/java/")
            .replace("/opt/", root + "/opt/"));
  }

  @Test
  void javaHomeTakesPrecedenceOverThePath() throws Exception {
    String home = writeJava("home", "25.0.1");
    writeJava("path", "26");

    assertEquals(
        new Shell.Result(0, "home: -XX:-UsePerfData -Xmx256m -jar " + launcher + " a b"),
        launch(Map.of("JAVA_HOME", home)));
  }

  @Test
  void olderJavaInJavaHomeAndOnThePathIsSkipped() throws Exception {
    String home = writeJava("home", "17.0.15");
    writeJava("path", "24.0.2");
    writeJava("jvm/some-25-jdk", "25");

    assertEquals(
        new Shell.Result(0, "jvm/some-25-jdk: -XX:-UsePerfData -Xmx256m -jar " + launcher + " a b"),
        launch(Map.of("JAVA_HOME", home)));
  }

  @Test
  void optionsFromTheEnvironmentReplaceTheDefaults() throws Exception {
    writeJava("path", "25");

    assertEquals(
        new Shell.Result(0, "path: -XX:-UsePerfData -Xmx64m -Xss1m -jar " + launcher + " a b"),
        launch(Map.of("FESCUEHOOK_JAVA_OPTIONS", "-Xmx64m -Xss1m")));
  }

  @Test
  void missingJavaIsReportedWithTheRequiredVersion() throws Exception {
    writeJava("path", "1.8.0_402");

    assertEquals(
        new Shell.Result(
            69, "program: needs Java 25 or newer: set JAVA_HOME or put java on the PATH"),
        launch(Map.of()));
  }

  private Shell.Result launch(Map<String, String> variables) throws Exception {
    Map<String, String> environment = new HashMap<>(variables);
    environment.put("PATH", root.resolve("path/bin") + ":/usr/bin:/bin");
    return new Shell(root, environment).run("sh", launcher.toString(), "a", "b");
  }

  private String writeJava(String home, String version) throws IOException {
    Path java = Files.createDirectories(root.resolve(home).resolve("bin")).resolve("java");
    Files.writeString(
        java,
        """
        #!/bin/sh
        case "$*" in
          *-version) echo 'openjdk version "%s" 2025-09-16' >&2 ;;
          *) echo "%s: $*" ;;
        esac
        """
            .formatted(version, home));
    java.toFile().setExecutable(true);
    return root.resolve(home).toString();
  }
}
