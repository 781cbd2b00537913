package org.fescuehook.cli.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.cli.client.Response;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Base of the commands that call the operators' port of an entry VM. */
abstract class OperatorCommand implements Command {

  private static final String TOKEN_VARIABLE = "FESCUEHOOK_OPERATOR_TOKEN";
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  @Option(
      name = "--operator",
      handler = AddressOptionHandler.class,
      usage = "operators' port of any entry VM")
  private InetSocketAddress operator = new InetSocketAddress("127.0.0.1", 7002);

  @Option(
      name = "--token-file",
      metaVar = "FILE",
      usage = "file with the operators' token; else the variable " + TOKEN_VARIABLE)
  private @Nullable String tokenFile;

  @Option(name = "--format", usage = "form of the result")
  private Format format = Format.TEXT;

  @Override
  public final ExitCode run(Console console) throws CommandException {
    try (EntryClient client = new EntryClient(operator, token(console), TIMEOUT)) {
      return run(console, client);
    } catch (EntryUnreachableException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE,
          e.getMessage() + "; see that the entry VM runs, or give --operator IP:PORT");
    }
  }

  /** Runs the command with a client of the operators' port. */
  abstract ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException;

  /** Returns the format in which to print the result. */
  final Format format() {
    return format;
  }

  /** Returns the response if its status reports success; throws its refusal otherwise. */
  static Response requireSuccess(Response response) throws CommandException {
    if (response.successful()) {
      return response;
    }
    throw Refusals.of(response);
  }

  private Optional<String> token(Console console) throws CommandException {
    if (tokenFile == null) {
      return Optional.ofNullable(console.environment().get(TOKEN_VARIABLE));
    }
    try {
      return Optional.of(Files.readString(Path.of(tokenFile)).strip());
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, "--token-file " + tokenFile + " cannot be read; give its path");
    }
  }
}
