package org.fescuehook.cli;

import org.fescuehook.cli.command.ExitCode;

/** Generates the operators' page about commands from their help texts. */
final class CommandsPage {

  private static final String HEAD =
      """
      # Commands

      `fescuehook --help` lists the commands, and each has `--help` of its own. Results go to the \
      standard output, faults to the standard error output, one line each, with what to do. \
      Commands that serve a pipeline take `--format json`.

      Commands for operators go to the operators' port (`--operator IP:PORT`) of any entry VM. If \
      that port has a token, it is read from `--token-file FILE` or from the variable \
      `FESCUEHOOK_OPERATOR_TOKEN`. Commands for callers go to the service port (`--service \
      IP:PORT`).

      ## Exit codes

      | Code | Meaning |
      |---|---|
      """;

  private static final String EXIT_CODES = "\nexit codes:";

  String text() {
    StringBuilder page = new StringBuilder(HEAD);
    for (ExitCode code : ExitCode.values()) {
      page.append("| %d | %s |\n".formatted(code.code(), code.meaning()));
    }
    page.append("| 69 | the launcher found no Java 25 |\n");
    for (CommandSpec spec :
        CommandCatalogue.commands(preferences -> ExitCode.DONE, preferences -> ExitCode.DONE)) {
      page.append("\n## ").append(spec.name()).append("\n\n```text\n");
      page.append(help(spec)).append("```\n");
    }
    return page.toString();
  }

  private static String help(CommandSpec spec) {
    String out = CommandResult.of((spec.name() + " --help").split(" ")).out();
    return out.substring(0, out.indexOf(EXIT_CODES)).stripTrailing() + "\n";
  }
}
