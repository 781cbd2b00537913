package org.fescuehook.cli.command;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.kohsuke.args4j.Option;

/** A command that goes to the service port of an entry VM, as a caller does. */
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

  /** Runs the command with a client. */
  abstract ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException;

  /** Returns how long the entry VM is asked to wait before it answers. */
  Duration longestWait() {
    return Duration.ZERO;
  }

  /** Returns what to do when no answer came. */
  String advice() {
    return "see that the entry VM runs, or give --service IP:PORT";
  }

  /** Returns the form of the result. */
  final Format format() {
    return format;
  }
}
