package org.fescuehook.cli.command;

import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;

/** {@code drain}: asks an entry VM to stop gracefully. */
public final class DrainCommand extends OperatorCommand {

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    Response response = requireSuccess(client.send("POST", "/drain"));
    if (format() == Format.JSON) {
      console.out().println(response.body().toPrettyString());
    } else {
      console
          .out()
          .println(client.address() + " drains; its process ends when all in flight is answered");
    }
    return ExitCode.DONE;
  }
}
