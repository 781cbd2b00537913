package org.fescuehook.cli.command;

import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code submit}: submits a gang job. */
public final class SubmitCommand extends ServiceCommand {

  private static final long MEBIBYTE = 1L << 20;

  @Option(name = "--organisation", metaVar = "NAME", required = true, usage = "who submits")
  private String organisation = "";

  @Option(name = "--members", metaVar = "N", usage = "members of the gang, started together")
  private int members = 1;

  @Option(name = "--accelerators", metaVar = "N", required = true, usage = "for each member")
  private int accelerators;

  @Option(name = "--cores", metaVar = "N", usage = "processor cores for each member")
  private int cores = 1;

  @Option(name = "--memory", handler = MemoryOptionHandler.class, usage = "for each member")
  private long memory = 1024 * MEBIBYTE;

  @Option(name = "--max-racks", metaVar = "N", usage = "most racks for all members; 0 for any")
  private int maxRacks;

  @Option(
      name = "--run-time",
      handler = DurationOptionHandler.class,
      required = true,
      usage = "expected run time")
  private Duration runTime = Duration.ZERO;

  @Option(name = "--urgent", usage = "start within the urgent bound")
  private boolean urgent;

  @Option(name = "--checkpointable", usage = "a checkpoint keeps the job's progress")
  private boolean checkpointable;

  @Option(
      name = "--request-id",
      metaVar = "ID",
      usage = "id of this submission; submitting again with it gives the same job")
  private @Nullable String requestId;

  @Argument(metaVar = "COMMAND", required = true, usage = "what the workers run, as one argument")
  private String command = "";

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    requestId = requestId == null ? UUID.randomUUID().toString() : requestId;
    Submission submission =
        new Submission(
            organisation,
            members,
            accelerators,
            cores,
            memory / MEBIBYTE,
            maxRacks,
            runTime.toSeconds(),
            urgent,
            checkpointable,
            command);
    Response response = client.send("POST", "/jobs", submission, Map.of("Request-Id", requestId));
    if (!response.successful()) {
      throw Refusals.of(response);
    }
    if (format() == Format.JSON) {
      console.out().println(response.body().toPrettyString());
    } else {
      console.out().println(response.body().path("job").asText());
    }
    return ExitCode.DONE;
  }

  @Override
  String advice() {
    return "the job may have been accepted; submit again with --request-id " + requestId;
  }

  /** Request body that submits a job. */
  private record Submission(
      String organisation,
      int members,
      int accelerators,
      int cores,
      long memoryMegabytes,
      int maxRacks,
      long runTimeSeconds,
      boolean urgent,
      boolean checkpointable,
      String command) {}
}
