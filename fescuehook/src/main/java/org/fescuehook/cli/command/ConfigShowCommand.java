package org.fescuehook.cli.command;

import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** {@code config show}: prints published declarations. */
public final class ConfigShowCommand extends OperatorCommand {

  @Option(name = "--revision", metaVar = "R", usage = "revision to show; else the one in force")
  private @Nullable Long revision;

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    Optional<PublishedConfiguration> found =
        revision == null
            ? PublishedConfiguration.fetchCurrent(client)
            : PublishedConfiguration.fetch(client, revision);
    if (found.isEmpty()) {
      throw new CommandException(
          ExitCode.NOT_FOUND,
          revision == null
              ? "no configuration is published yet; run config publish"
              : "revision " + revision + " is not known; see config history");
    }
    PublishedConfiguration configuration = found.get();
    if (format() == Format.JSON) {
      console.out().println(Json.write(configuration));
      return ExitCode.DONE;
    }
    console
        .err()
        .printf(
            "revision %d, based on %d, by %s: %s%n",
            configuration.revision(),
            configuration.base(),
            configuration.author(),
            configuration.reason());
    console.out().print(configuration.declarations());
    return ExitCode.DONE;
  }
}
