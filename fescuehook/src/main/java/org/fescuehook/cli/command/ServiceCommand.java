package org.fescuehook.cli.command;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.kohsuke.args4j.Option;

/** Base of the commands that call the service port of an entry VM, as clients do. */
abstract class ServiceCommand implements Command {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  @Option(
      name = "--service",
      handler = AddressOptionHandler.class,
      usage = "service port of any entry VM")
  private InetSocketAddress service = new InetSocketAddress("127.0.0.1", 7000);

  @Option(name = "--format", usage = "form of the result")
  private Format format = Format.TEXT;

  @Override
  public final ExitCode run(Console console) throws CommandException {
    try (EntryClient client =
        new EntryClient(service, Optional.empty(), TIMEOUT.plus(longestWait()))) {
      return run(console, client);
    } catch (EntryUnreachableException e) {
      throw new CommandException(ExitCode.UNREACHABLE, e.getMessage() + "; " + advice());
    }
  }

  /** Runs the command with a client of the service port. */
  abstract ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException;

  /** Returns how long the entry VM may hold the request before it responds. */
  Duration longestWait() {
    return Duration.ZERO;
  }

  /** Returns the advice to print when no response arrives. */
  String advice() {
    return "see that the entry VM runs, or give --service IP:PORT";
  }

  /** Returns the format in which to print the result. */
  final Format format() {
    return format;
  }
}
