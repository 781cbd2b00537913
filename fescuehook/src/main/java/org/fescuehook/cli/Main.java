package org.fescuehook.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Entry point of the {@code fescuehook} program. */
public final class Main {

  /** Exit code for a command line that cannot be understood, as in sysexits.h. */
  private static final int EXIT_USAGE = 64;

  @Option(name = "--help", aliases = "-h", help = true, usage = "print this text")
  private boolean help;

  private Main() {}

  /** Runs the command given by the arguments and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(new Main().run(arguments));
  }

  private int run(String[] arguments) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      printUsage(parser, System.err);
      return EXIT_USAGE;
    }
    if (help) {
      printUsage(parser, System.out);
      return 0;
    }
    printUsage(parser, System.err);
    return EXIT_USAGE;
  }

  private static void printUsage(CmdLineParser parser, PrintStream output) {
    output.println("usage: fescuehook [options]");
    parser.printUsage(output);
  }
}
