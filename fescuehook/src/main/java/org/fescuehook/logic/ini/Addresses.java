package org.fescuehook.logic.ini;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Value types for addresses of the form {@code IP:port}. Host names are rejected because names are
 * not resolved.
 */
public final class Addresses {

  private static final Pattern FORM =
      Pattern.compile("(?:\\[([0-9A-Fa-f:.]+)]|([^:\\[\\]]+)):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  private static final String NONE = "none";

  private Addresses() {}

  /** Returns the type of addresses whose port is at least {@code leastPort}. */
  public static ValueType<InetSocketAddress> fromPort(int leastPort) {
    String accepted =
        "IP:port with a port of %d to %d, as 10.0.0.5:7000 or [fd00::5]:7000"
            .formatted(leastPort, MAX_PORT);
    return new ValueType<>(accepted, text -> parse(text, leastPort), Addresses::format);
  }

  /** Returns the type of an optional address; {@code none} stands for no address. */
  public static ValueType<Optional<InetSocketAddress>> orNone(int leastPort) {
    ValueType<InetSocketAddress> address = fromPort(leastPort);
    return new ValueType<>(
        address.accepted() + ", or " + NONE,
        text -> text.equals(NONE) ? Optional.empty() : Optional.of(address.reader().read(text)),
        value -> value.map(address.writer()).orElse(NONE));
  }

  /** Returns the address as {@code IP:port}. */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return host.contains(":")
        ? "[" + host + "]:" + address.getPort()
        : host + ":" + address.getPort();
  }

  private static InetSocketAddress parse(String text, int leastPort)
      throws MalformedValueException {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new MalformedValueException("is not IP:port");
    }
    int port = Integer.parseInt(matcher.group(3));
    if (port < leastPort || port > MAX_PORT) {
      throw new MalformedValueException("has a port out of range");
    }
    String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    return new InetSocketAddress(parseIpAddress(host), port);
  }

  private static InetAddress parseIpAddress(String host) throws MalformedValueException {
    try {
      return InetAddress.ofLiteral(host);
    } catch (IllegalArgumentException e) {
      throw new MalformedValueException("\"" + host + "\" is no IP address");
    }
  }
}
