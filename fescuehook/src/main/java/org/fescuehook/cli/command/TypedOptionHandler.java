package org.fescuehook.cli.command;

import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.logic.ini.ValueType;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses an option with the value types that settings and declarations use too. */
abstract class TypedOptionHandler<T> extends OneArgumentOptionHandler<T> {

  private final ValueType<T> type;
  private final String metaVariable;

  TypedOptionHandler(
      CmdLineParser parser,
      OptionDef option,
      Setter<? super T> setter,
      ValueType<T> type,
      String metaVariable) {
    super(parser, option, setter);
    this.type = type;
    this.metaVariable = metaVariable;
  }

  @Override
  protected T parse(String argument) throws CmdLineException {
    try {
      return type.reader().read(argument);
    } catch (MalformedValueException e) {
      String message =
          "%s %s: %s; accepted: %s"
              .formatted(option.toString(), argument, e.getMessage(), type.accepted());
      throw new CmdLineException(owner, message, e);
    }
  }

  @Override
  public String getDefaultMetaVariable() {
    return metaVariable;
  }

  @Override
  protected String print(T value) {
    return value == null ? null : type.writer().apply(value);
  }
}
