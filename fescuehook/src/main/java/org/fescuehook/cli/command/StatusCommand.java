package org.fescuehook.cli.command;

import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;

/** {@code status}: shows the state of an entry VM and the VM's view of the whole system. */
public final class StatusCommand extends OperatorCommand {

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    Response response = requireSuccess(client.send("GET", "/status"));
    new ResultWriter(console, format()).write(response.body());
    return ExitCode.DONE;
  }
}
