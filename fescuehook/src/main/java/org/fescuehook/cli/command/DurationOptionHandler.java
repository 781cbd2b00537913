package org.fescuehook.cli.command;

import java.time.Duration;
import org.fescuehook.logic.ini.Durations;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;

/** Parses options whose value is a duration with a unit. */
public final class DurationOptionHandler extends TypedOptionHandler<Duration> {

  /** Creates the handler; args4j calls this constructor by reflection. */
  public DurationOptionHandler(
      CmdLineParser parser, OptionDef option, Setter<? super Duration> setter) {
    super(parser, option, setter, Durations.from(Duration.ZERO), "DURATION");
  }
}
