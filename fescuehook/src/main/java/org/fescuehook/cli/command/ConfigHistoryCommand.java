package org.fescuehook.cli.command;

import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;

/** {@code config history}: lists published configurations with author and reason. */
public final class ConfigHistoryCommand extends OperatorCommand {

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    Response response = requireSuccess(client.send("GET", "/configuration/history"));
    new ResultWriter(console, format()).write(response.body());
    return ExitCode.DONE;
  }
}
