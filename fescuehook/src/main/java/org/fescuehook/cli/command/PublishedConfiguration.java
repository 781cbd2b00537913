package org.fescuehook.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;

/**
 * Holds a published configuration as the operators' port returns it.
 *
 * @param revision revision number of the configuration
 * @param base revision that the author changed; -1 for the first configuration
 * @param author who published it
 * @param reason why it was published
 * @param declarations text of the declarations, in INI format
 */
record PublishedConfiguration(
    long revision, long base, String author, String reason, String declarations) {

  private static final int NOT_FOUND = 404;

  /** Fetches the configuration in force; empty if none has been published yet. */
  static Optional<PublishedConfiguration> fetchCurrent(EntryClient client)
      throws CommandException, EntryUnreachableException {
    return fetch(client, "/configuration");
  }

  /** Fetches a revision; empty if the entry VM does not know it. */
  static Optional<PublishedConfiguration> fetch(EntryClient client, long revision)
      throws CommandException, EntryUnreachableException {
    return fetch(client, "/configuration?revision=" + revision);
  }

  private static Optional<PublishedConfiguration> fetch(EntryClient client, String path)
      throws CommandException, EntryUnreachableException {
    Response response = client.send("GET", path);
    if (response.status() == NOT_FOUND) {
      return Optional.empty();
    }
    JsonNode body = OperatorCommand.requireSuccess(response).body();
    PublishedConfiguration configuration =
        new PublishedConfiguration(
            body.path("revision").asLong(-1),
            body.path("base").asLong(-1),
            body.path("author").asText(),
            body.path("reason").asText(),
            body.path("declarations").asText());
    return configuration.revision() < 0 ? Optional.empty() : Optional.of(configuration);
  }
}
