package org.fescuehook.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;
import org.fescuehook.logic.ini.FaultyInputException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * {@code config publish}: puts declarations in force. Publishing the declarations that are already
 * in force has no effect.
 */
public final class ConfigPublishCommand extends OperatorCommand {

  private static final int CONFLICT = 409;
  private static final String NO_BASE = "none";

  @Argument(metaVar = "FILE", required = true, usage = "declarations, INI; several make up one")
  private List<String> files = new ArrayList<>();

  @Option(
      name = "--base",
      metaVar = "REV",
      required = true,
      usage = "revision that the change is based on; none for the first")
  private String base = "";

  @Option(name = "--author", metaVar = "NAME", required = true, usage = "who publishes")
  private String author = "";

  @Option(name = "--reason", metaVar = "TEXT", required = true, usage = "why, for the history")
  private String reason = "";

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    long baseRevision = baseRevision();
    DeclarationFiles declarations = DeclarationFiles.read(files);
    try {
      new FaultWriter(console, Format.TEXT).write(List.of(), declarations.check().warnings());
    } catch (FaultyInputException e) {
      new FaultWriter(console, format()).write(e.faults(), List.of());
      return ExitCode.FAULTY_INPUT;
    }
    String text = declarations.text();
    Optional<PublishedConfiguration> current = PublishedConfiguration.fetchCurrent(client);
    if (current.isPresent() && current.get().declarations().equals(text)) {
      return report(console, new Result(current.get().revision(), false));
    }
    return publish(console, client, new Publication(baseRevision, author, reason, text));
  }

  private ExitCode publish(Console console, EntryClient client, Publication publication)
      throws CommandException, EntryUnreachableException {
    Response response;
    try {
      response = client.send("POST", "/configuration", publication, Map.of());
    } catch (EntryUnreachableException e) {
      return handleLostResponse(console, client, publication, e);
    }
    if (response.status() == CONFLICT) {
      return handleConflict(console, client, publication, response);
    }
    long revision = requireSuccess(response).body().path("revision").asLong();
    return report(console, new Result(revision, true));
  }

  /**
   * Handles a lost response, after which the publication may have taken effect: it has if the
   * configuration in force has the same declarations.
   */
  private ExitCode handleLostResponse(
      Console console,
      EntryClient client,
      Publication publication,
      EntryUnreachableException failure)
      throws CommandException, EntryUnreachableException {
    Optional<PublishedConfiguration> current = PublishedConfiguration.fetchCurrent(client);
    if (current.isPresent() && current.get().declarations().equals(publication.declarations())) {
      return report(console, new Result(current.get().revision(), true));
    }
    throw new CommandException(
        ExitCode.UNREACHABLE,
        failure.getMessage() + "; it may have been accepted: publish again, which is safe");
  }

  private ExitCode handleConflict(
      Console console, EntryClient client, Publication publication, Response response)
      throws CommandException, EntryUnreachableException {
    long winner = response.body().path("winner").asLong(-1);
    Optional<PublishedConfiguration> winningConfiguration =
        PublishedConfiguration.fetch(client, winner);
    if (winningConfiguration.isPresent()
        && winningConfiguration.get().declarations().equals(publication.declarations())) {
      return report(console, new Result(winner, false));
    }
    String winningAuthor = response.body().path("author").asText("unknown");
    throw new CommandException(
        ExitCode.CONFLICT,
        "conflict: revision %d by %s came first; look at config diff, then publish with --base %d"
            .formatted(winner, winningAuthor, winner));
  }

  private ExitCode report(Console console, Result result) {
    if (format() == Format.JSON) {
      console.out().println(Json.write(result));
      return ExitCode.DONE;
    }
    String state = result.changed() ? "published and in force" : "already in force, no change";
    console.out().println("revision " + result.revision() + ": " + state);
    return ExitCode.DONE;
  }

  private long baseRevision() throws CommandException {
    if (base.equals(NO_BASE)) {
      return -1;
    }
    try {
      return Long.parseLong(base);
    } catch (NumberFormatException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, "--base " + base + " is no revision; see config history");
    }
  }

  /** Request body that publishes a configuration. */
  private record Publication(long base, String author, String reason, String declarations) {}

  /** Revision in force after the command, and whether this publication created it. */
  private record Result(long revision, boolean changed) {}
}
