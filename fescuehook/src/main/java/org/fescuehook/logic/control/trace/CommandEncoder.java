package org.fescuehook.logic.control.trace;

import java.util.Arrays;
import org.fescuehook.logic.control.ControlCommand;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.model.job.JobId;

/** Encodes commands as text. Equal commands give equal text. */
final class CommandEncoder {

  private CommandEncoder() {}

  static String encode(ControlCommand command) {
    return switch (command) {
      case ControlCommand.Append(var record) ->
          new TraceLine("append").add(record.toByteArray()).toString();
      case ControlCommand.Send(var worker, var sent) ->
          new TraceLine("send").add(worker.value()).addLine(EventEncoder.command(sent)).toString();
      case ControlCommand.Reply(long ticket, Answer answer) ->
          new TraceLine("reply").add(ticket).addLine(answer(answer)).toString();
      case ControlCommand.ConfigurationInForce(var configuration) ->
          new TraceLine("configuration")
              .add(configuration.revision())
              .add(configuration.baseRevision())
              .add(configuration.author())
              .add(configuration.reason())
              .add(configuration.text())
              .toString();
      case ControlCommand.SharesInForce(var shares) ->
          new TraceLine("shares").add(shares.toByteArray()).toString();
      case ControlCommand.Note note ->
          new TraceLine("note")
              .add(note.event().number())
              .add(Arrays.toString(note.arguments()))
              .toString();
      case ControlCommand.Count count -> {
        TraceLine line = new TraceLine("count").add(count.name());
        Arrays.stream(count.tags()).forEach(line::add);
        yield line.toString();
      }
    };
  }

  private static String answer(Answer answer) {
    return switch (answer) {
      case Answer.Accepted(JobId job) -> new TraceLine("accepted").add(job.value()).toString();
      case Answer.Document(String json) -> new TraceLine("document").add(json).toString();
      case Answer.Published(long revision) -> new TraceLine("published").add(revision).toString();
      case Answer.Conflict(long winner, String author) ->
          new TraceLine("conflict").add(winner).add(author).toString();
      case Answer.Done() -> "done";
      case Answer.Refused refused ->
          new TraceLine("refused")
              .add(refused.reason())
              .add(refused.detail())
              .add(refused.retryAfterSeconds())
              .toString();
    };
  }
}
