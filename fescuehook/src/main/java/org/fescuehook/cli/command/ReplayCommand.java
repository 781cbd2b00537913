package org.fescuehook.cli.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.fescuehook.entry.ParsedDeclarations;
import org.fescuehook.logic.control.trace.ControlReplayer;
import org.fescuehook.logic.control.trace.ControlReplayer.Replay;
import org.fescuehook.logic.control.trace.InvalidTraceException;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.logic.trace.JobOutcome;
import org.fescuehook.logic.trace.Replayer;
import org.fescuehook.logic.trace.Trace;
import org.fescuehook.logic.trace.TraceFormatException;
import org.fescuehook.logic.trace.TraceParser;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * {@code replay}: replays a trace. For a trace of the decision core, compares the commands with the
 * recorded ones; for a trace of jobs, runs the scheduling policy on a virtual clock.
 */
public final class ReplayCommand implements Command {

  @Argument(metaVar = "TRACE", required = true, usage = "trace of the decision core or of jobs")
  private String file = "";

  @Option(name = "--format", usage = "form of the result")
  private Format format = Format.TEXT;

  @Override
  public ExitCode run(Console console) throws CommandException {
    List<String> lines = read();
    if (!lines.isEmpty() && lines.getFirst().strip().equals(TraceParser.HEADER)) {
      return replayJobs(console, lines);
    }
    return replayControl(console, lines);
  }

  private ExitCode replayJobs(Console console, List<String> lines) throws CommandException {
    Trace trace;
    try {
      trace = new TraceParser(file).parse(lines);
    } catch (TraceFormatException e) {
      throw new CommandException(ExitCode.FAULTY_INPUT, e.getMessage() + "; mend the line");
    }
    List<JobOutcome> outcomes =
        new Replayer(
                trace,
                new GuaranteeScheduler(),
                Optional.of(new FaultyWorkerDetector()),
                (view, plan) -> {})
            .replay();
    write(console, JobReplayReport.of(outcomes));
    return ExitCode.DONE;
  }

  private ExitCode replayControl(Console console, List<String> lines) throws CommandException {
    ControlReplayer replayer =
        new ControlReplayer(GuaranteeScheduler::new, new ParsedDeclarations());
    Replay replay;
    try {
      for (String line : lines) {
        replayer.next(line);
      }
      replay = replayer.end();
    } catch (InvalidTraceException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, file + ", " + e.getMessage() + "; mend the line");
    }
    if (replay.events() == 0) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, file + " holds no event; give a trace that an entry VM wrote");
    }
    write(console, ControlReplayReport.of(replay));
    return replay.difference().isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
  }

  private void write(Console console, Object report) {
    new ResultWriter(console, format).write(new ObjectMapper().valueToTree(report));
  }

  private List<String> read() throws CommandException {
    try {
      return Files.readAllLines(Path.of(file));
    } catch (NoSuchFileException e) {
      throw new CommandException(ExitCode.FAULTY_INPUT, file + ": no such file; give its path");
    } catch (CharacterCodingException e) {
      throw new CommandException(ExitCode.FAULTY_INPUT, file + ": not UTF-8; give a trace as text");
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, file + ": cannot be read (" + e.getMessage() + ")");
    }
  }
}
