package org.fescuehook.cli.command;

import java.net.InetSocketAddress;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.ValueType;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;

/** Parses options whose value is an address of the form {@code IP:port}. */
public final class AddressOptionHandler extends TypedOptionHandler<InetSocketAddress> {

  private static final ValueType<InetSocketAddress> TYPE = Addresses.fromPort(1);

  /** Creates the handler; args4j calls this constructor by reflection. */
  public AddressOptionHandler(
      CmdLineParser parser, OptionDef option, Setter<? super InetSocketAddress> setter) {
    super(parser, option, setter, TYPE, "IP:PORT");
  }
}
