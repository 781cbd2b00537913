package org.fescuehook.cli.command;

import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;
import org.kohsuke.args4j.Argument;

/** {@code job cancel}: cancels a job; idempotent. */
public final class JobCancelCommand extends ServiceCommand {

  @Argument(metaVar = "ID", required = true, usage = "the job")
  private String id = "";

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    Response response = client.send("DELETE", "/jobs/" + PathSegments.encode(id));
    if (!response.successful()) {
      throw Refusals.of(response);
    }
    if (format() == Format.JSON) {
      console.out().println(response.body().toPrettyString());
    } else {
      console.out().println("cancellation of job " + id + " is taken; job show tells its state");
    }
    return ExitCode.DONE;
  }

  @Override
  String advice() {
    return "the job may have been cancelled; cancel it again";
  }
}
