package org.fescuehook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.fescuehook.cli.command.ExitCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@UseReporter(QuietReporter.class)
class OperatorCommandsTest {

  private static final String DECLARATIONS =
      """
      [executor e-1]
      address = 10.0.0.2:7300
      failure-domain = a
      slots = 8
      connections = 64
      """;
  private static final String NONE_PUBLISHED = "{\"error\":\"not-found\",\"detail\":\"none\"}";
  private static final String CONFLICT =
      "{\"error\":\"conflict\",\"winner\":8,\"author\":\"ines\"}";

  private final FakeEntryVm vm;

  @TempDir private Path directory;

  OperatorCommandsTest() throws IOException {
    vm = new FakeEntryVm();
  }

  @AfterEach
  void stop() {
    vm.close();
  }

  @Test
  void publicationIsSentWithItsBaseAuthorAndReason() throws IOException {
    vm.respondsWith(404, NONE_PUBLISHED).respondsWith(200, "{\"revision\":3}");

    CommandResult result = publish("none");

    assertEquals(ExitCode.DONE, result.exitCode(), result.err());
    assertEquals("revision 3: published and in force\n", result.out());
    assertEquals(List.of("GET /configuration", "POST /configuration"), vm.requests());
    assertEquals(
        "{\"base\":-1,\"author\":\"rui\",\"reason\":\"first\",\"declarations\":"
            + new ObjectMapper().writeValueAsString(DECLARATIONS)
            + "}",
        vm.bodies().getLast());
  }

  @Test
  void publishingTheDeclarationsInForceHasNoEffect() throws IOException {
    vm.respondsWith(200, published(7, DECLARATIONS));

    CommandResult result = publish("3");

    assertEquals(ExitCode.DONE, result.exitCode());
    assertEquals("revision 7: already in force, no change\n", result.out());
    assertEquals(List.of("GET /configuration"), vm.requests());
  }

  @Test
  void conflictReportsTheWinningRevisionAndItsAuthor() throws IOException {
    vm.respondsWith(200, published(7, "[policy]\n"))
        .respondsWith(409, CONFLICT)
        .respondsWith(200, published(8, "[policy]\nmax-attempts = 2\n"));

    CommandResult result = publish("7");

    assertEquals(ExitCode.CONFLICT, result.exitCode());
    assertEquals(
        "fescuehook: conflict: revision 8 by ines came first; look at config diff, then publish"
            + " with --base 8\n",
        result.err());
  }

  @Test
  void conflictWithEqualDeclarationsSucceeds() throws IOException {
    vm.respondsWith(200, published(7, "[policy]\n"))
        .respondsWith(409, CONFLICT)
        .respondsWith(200, published(8, DECLARATIONS));

    assertEquals("revision 8: already in force, no change\n", publish("7").out());
  }

  @Test
  void lostResponseIsResolvedFromTheConfigurationInForce() throws IOException {
    vm.respondsWith(200, published(7, "[policy]\n"))
        .dropsConnection()
        .respondsWith(200, published(8, DECLARATIONS));

    assertEquals("revision 8: published and in force\n", publish("7").out());
  }

  @Test
  void lostResponseOfAPublicationNotInForceIsReportedAsUnreachable() throws IOException {
    String before = published(7, "[policy]\n");
    vm.respondsWith(200, before).dropsConnection().respondsWith(200, before);

    CommandResult result = publish("7");

    assertEquals(ExitCode.UNREACHABLE, result.exitCode());
    assertTrue(result.err().endsWith("publish again, which is safe\n"), result.err());
  }

  @Test
  void invalidDeclarationsAreNotSent() throws IOException {
    CommandResult result = publish("7", DECLARATIONS.replace("slots = 8", "slots = 65"));

    assertEquals(ExitCode.FAULTY_INPUT, result.exitCode());
    assertEquals(List.of(), vm.requests());
  }

  @Test
  void differencesGiveExitCodeDifferent() throws IOException {
    String file = writeFile("d.ini", DECLARATIONS);
    vm.respondsWith(200, published(7, DECLARATIONS.replace("slots = 8", "slots = 4")));
    CommandResult different = run("config", "diff", file);
    vm.respondsWith(200, published(7, "# the same\n" + DECLARATIONS));
    CommandResult same = run("config", "diff", file);

    assertEquals(ExitCode.DIFFERENT, different.exitCode());
    assertEquals(
        """
        revision 7 is in force: 1 difference
        ~ executor e-1: 4 slots and 64 connections in failure domain a -> 8 slots and 64 \
        connections in failure domain a
        """,
        different.out());
    assertEquals(ExitCode.DONE, same.exitCode());
  }

  @Test
  void shownDeclarationsCanBePublishedAsTheyAre() {
    vm.respondsWith(200, published(7, DECLARATIONS));

    CommandResult result = run("config", "show");

    assertEquals(DECLARATIONS, result.out());
    assertEquals("revision 7, based on 3, by ana: because\n", result.err());
  }

  @Test
  void unknownRevisionIsNotFound() {
    vm.respondsWith(404, NONE_PUBLISHED);

    assertEquals(ExitCode.NOT_FOUND, run("config", "show", "--revision", "5").exitCode());
    assertEquals(List.of("GET /configuration?revision=5"), vm.requests());
  }

  @Test
  void tokenFileTakesPrecedenceOverTheEnvironment() throws IOException {
    vm.respondsWith(202, "{}").respondsWith(202, "{}");
    Map<String, String> environment = Map.of("FESCUEHOOK_OPERATOR_TOKEN", "from-environment");
    String[] drain = {"drain", "--operator", vm.address()};
    String[] withFile = {
      "drain", "--operator", vm.address(), "--token-file", writeFile("token", "from-file\n")
    };

    CommandResult.of(preferences -> ExitCode.DONE, environment, drain);
    CommandResult.of(preferences -> ExitCode.DONE, environment, withFile);

    assertEquals(List.of("Bearer from-environment", "Bearer from-file"), vm.tokens());
  }

  @Test
  void rejectionReportsItsReasonAndTheRetryDelay() {
    vm.rejects(503, "{\"error\":\"queue-full\",\"detail\":\"the decision ring is full\"}", 2);

    CommandResult result = run("status");

    assertEquals(ExitCode.REFUSED, result.exitCode());
    assertEquals(
        "fescuehook: refused: queue-full: the decision ring is full; try again after 2 s\n",
        result.err());
  }

  @Test
  void entryVmThatDoesNotAnswerIsUnreachable() {
    vm.close();

    CommandResult result = run("explain", "j-1");

    assertEquals(ExitCode.UNREACHABLE, result.exitCode());
    assertEquals(
        "fescuehook: no answer to GET /explain/j-1 at %s (connection refused); see that the entry VM runs, or give --operator IP:PORT\n"
            .formatted(vm.address()),
        result.err());
  }

  @Test
  void statusIsShownAsTables() {
    vm.respondsWith(
        200,
        """
        {"vm":{"name":"entry-1","ready":true,"inFlight":3,"peers":["entry-2","entry-3"],
        "leaving":[]},
        "control":{"owner":"entry-2","epoch":17,"since":1764700000000,
        "waiting":[{"job":"j-1","rule":10,"missing":"1 rack","expectedStart":0},{"job":"j-22","missing":"8\\u001b[31m"}]}}
        """);

    Approvals.verify(run("status").out());
  }

  private CommandResult publish(String base) throws IOException {
    return publish(base, DECLARATIONS);
  }

  private CommandResult publish(String base, String declarations) throws IOException {
    String file = writeFile("declarations.ini", declarations);
    return run("config", "publish", "--base", base, "--author", "rui", "--reason", "first", file);
  }

  private CommandResult run(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.add("--operator");
    all.add(vm.address());
    return CommandResult.of(all.toArray(String[]::new));
  }

  private String writeFile(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private static String published(long revision, String declarations) {
    return new ObjectMapper()
        .createObjectNode()
        .put("revision", revision)
        .put("base", 3)
        .put("author", "ana")
        .put("reason", "because")
        .put("declarations", declarations)
        .toString();
  }
}
