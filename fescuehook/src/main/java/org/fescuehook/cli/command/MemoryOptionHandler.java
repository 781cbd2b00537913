package org.fescuehook.cli.command;

import org.fescuehook.logic.ini.Sizes;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;

/** Reads amounts of memory with a unit, in bytes. */
public final class MemoryOptionHandler extends TypedOptionHandler<Long> {

  private static final long MEBIBYTE = 1L << 20;
  private static final long MOST = 1L << 46;

  /** Creates the handler; called by args4j. */
  public MemoryOptionHandler(CmdLineParser parser, OptionDef option, Setter<? super Long> setter) {
    super(parser, option, setter, Sizes.between(MEBIBYTE, MOST, MEBIBYTE), "SIZE");
  }
}
