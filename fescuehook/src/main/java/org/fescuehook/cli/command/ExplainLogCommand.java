package org.fescuehook.cli.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fescuehook.logic.story.JobStory;
import org.fescuehook.logic.story.LoggedEvent;
import org.fescuehook.logic.story.LoggedEventParser;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code explain-log}: tells the story of a batch job from the logs of the scheduler's VMs. */
public final class ExplainLogCommand implements Command {

  private static final String STANDARD_INPUT = "-";
  private static final double MILLIS_PER_SECOND = 1000;

  @Argument(metaVar = "ID", required = true, usage = "the job")
  private String id = "";

  @Option(
      name = "--log",
      metaVar = "FILE",
      usage = "log of a VM; may be given several times (default: standard input)")
  private List<String> files = new ArrayList<>();

  @Override
  public ExitCode run(Console console) throws CommandException {
    List<LoggedEvent> log = new ArrayList<>();
    for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
      log.addAll(read(file));
    }
    JobStory story = JobStory.of(id, log);
    if (story.events().isEmpty()) {
      throw new CommandException(
          ExitCode.REFUSED, "no line names " + id + "; give the logs of all VMs");
    }
    long first = story.events().getFirst().millis();
    for (LoggedEvent event : story.events()) {
      double seconds = (event.millis() - first) / MILLIS_PER_SECOND;
      console
          .out()
          .printf(
              Locale.ROOT,
              "%9.3f s  %s  %d  %s%n",
              seconds,
              event.vm(),
              event.number(),
              event.message());
    }
    story
        .longestStage()
        .ifPresent(
            stage ->
                console
                    .out()
                    .printf(
                        Locale.ROOT,
                        "Longest: %.3f s, %s%n",
                        stage.millis() / MILLIS_PER_SECOND,
                        stage.name()));
    return ExitCode.DONE;
  }

  private static List<LoggedEvent> read(String file) throws CommandException {
    LoggedEventParser parser = new LoggedEventParser();
    List<LoggedEvent> events = new ArrayList<>();
    try (BufferedReader reader = open(file)) {
      reader.lines().forEach(line -> parser.parse(line).ifPresent(events::add));
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, "--log " + file + " cannot be read; give its path");
    }
    return events;
  }

  private static BufferedReader open(String file) throws IOException {
    if (file.equals(STANDARD_INPUT)) {
      return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
    return Files.newBufferedReader(Path.of(file));
  }
}
