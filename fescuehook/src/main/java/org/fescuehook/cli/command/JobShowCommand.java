package org.fescuehook.cli.command;

import java.time.Duration;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code job show}: shows the state of a job. */
public final class JobShowCommand extends ServiceCommand {

  @Argument(metaVar = "ID", required = true, usage = "the job")
  private String id = "";

  @Option(
      name = "--wait",
      handler = DurationOptionHandler.class,
      usage = "wait up to this long for its end")
  private Duration wait = Duration.ZERO;

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    String query = wait.isZero() ? "" : "?wait-ms=" + wait.toMillis();
    Response response = client.send("GET", "/jobs/" + PathSegments.encode(id) + query);
    if (!response.successful()) {
      throw Refusals.of(response);
    }
    new ResultWriter(console, format()).write(response.body());
    return ExitCode.DONE;
  }

  @Override
  Duration longestWait() {
    return wait;
  }
}
