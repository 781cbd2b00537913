package org.fescuehook.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Starts stand-ins and runs until it is stopped. */
public final class Main {
  private Main() {}

  /** Exits with 2 on a wrong command line and with 1 if a stand-in cannot start. */
  public static void main(String[] arguments) throws InterruptedException {
    StandInOptions options = new StandInOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(2);
    }
    if (options.help) {
      parser.printUsage(System.out);
      return;
    }
    try {
      run(options);
    } catch (StandInException e) {
      System.err.println(e.getMessage());
      System.exit(1);
    }
  }

  private static void run(StandInOptions options) throws StandInException, InterruptedException {
    StandInOptions.Kind kind = Objects.requireNonNull(options.kind);
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(options.threads, NioIoHandler.newFactory());
    StandInProcess process = new StandInProcess(group, options, kind);
    String properties = properties(process.addresses());
    Path file = options.portsFile;
    if (file == null) {
      System.out.print(properties);
    } else {
      write(file, properties);
    }
    System.out.println("ready control=" + text(process.addresses().get("control")));
    new CountDownLatch(1).await();
  }

  private static String properties(Map<String, InetSocketAddress> addresses) {
    return addresses.entrySet().stream()
        .map(e -> e.getKey() + "=" + text(e.getValue()) + "\n")
        .collect(Collectors.joining());
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Writes the file in one step, so that a waiting script never reads half of it. */
  private static void write(Path file, String properties) throws StandInException {
    Path part = file.resolveSibling(file.getFileName() + ".part");
    try {
      Files.writeString(part, properties);
      Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      throw new StandInException("write", file.toString(), e);
    }
  }
}
