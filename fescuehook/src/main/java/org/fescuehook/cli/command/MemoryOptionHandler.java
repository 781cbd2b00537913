package org.fescuehook.cli.command;

import org.fescuehook.logic.ini.Sizes;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;

/** Parses options whose value is a memory size with a unit, and converts it to bytes. */
public final class MemoryOptionHandler extends TypedOptionHandler<Long> {

  private static final long MEBIBYTE = 1L << 20;
  private static final long MAX_BYTES = 1L << 46;

  /** Creates the handler; args4j calls this constructor by reflection. */
  public MemoryOptionHandler(CmdLineParser parser, OptionDef option, Setter<? super Long> setter) {
    super(parser, option, setter, Sizes.between(MEBIBYTE, MAX_BYTES, MEBIBYTE), "SIZE");
  }
}
