package org.fescuehook.cli.command;

import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;
import org.kohsuke.args4j.Argument;

/** {@code explain}: prints why a job waits or was rejected. */
public final class ExplainCommand extends OperatorCommand {

  @Argument(metaVar = "ID", required = true, usage = "the job")
  private String id = "";

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    Response response = requireSuccess(client.send("GET", "/explain/" + PathSegments.encode(id)));
    new ResultWriter(console, format()).write(response.body());
    return ExitCode.DONE;
  }
}
