package org.fescuehook.cli.command;

import java.net.InetSocketAddress;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.ValueType;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;

/** Reads {@code IP:port} options. */
public final class AddressOptionHandler extends TypedOptionHandler<InetSocketAddress> {

  private static final ValueType<InetSocketAddress> TYPE = Addresses.fromPort(1);

  /** Creates the handler; called by args4j. */
  public AddressOptionHandler(
      CmdLineParser parser, OptionDef option, Setter<? super InetSocketAddress> setter) {
    super(parser, option, setter, TYPE, "IP:PORT");
  }
}
