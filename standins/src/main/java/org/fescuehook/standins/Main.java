package org.fescuehook.standins;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.stream.Collectors;
import org.fescuehook.standins.executor.ExecutorStandIns;
import org.fescuehook.standins.worker.Resources;
import org.fescuehook.standins.worker.WorkerStandIns;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command-line program that starts stand-ins and runs until it is stopped. */
public final class Main {
  @Argument(
      required = true,
      metaVar = "log|list|executors|workers|platform|all",
      usage = "what to start")
  private StandInProcess.Kind kind = StandInProcess.Kind.ALL;

  @Option(name = "--host", metaVar = "IP", usage = "where to listen")
  private String host = "127.0.0.1";

  @Option(name = "--port", metaVar = "N", usage = "first port; 0 chooses free ones")
  private int port;

  @Option(name = "--ports-file", metaVar = "FILE", usage = "where to write the addresses")
  private @Nullable Path portsFile;

  @Option(name = "--executors", metaVar = "N", usage = "how many executors")
  private int executors = 3;

  @Option(
      name = "--small-executors",
      metaVar = "N",
      usage = "further executors of the platform, of a service of their own")
  private int smallExecutors;

  @Option(
      name = "--vms",
      metaVar = "N",
      usage =
          "VMs with an address of the platform's store, and ports of its executors, of their own")
  private int vms;

  @Option(name = "--slots", metaVar = "N", usage = "slots of each executor")
  private int slots = 8;

  @Option(name = "--connections", metaVar = "N", usage = "connections of each executor")
  private int connections = 64;

  @Option(name = "--workers", metaVar = "N", usage = "how many workers")
  private int workers = 4;

  @Option(name = "--first-worker", metaVar = "N", usage = "number of the first worker")
  private int firstWorker = 1;

  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of each worker")
  private int accelerators = 8;

  @Option(name = "--cores", metaVar = "N", usage = "cores of each worker")
  private int cores = 64;

  @Option(name = "--memory-megabytes", metaVar = "MIB", usage = "memory of each worker")
  private long memoryMegabytes = 262_144;

  @Option(name = "--usage-lag-ms", metaVar = "MS", usage = "how old a reported usage can be")
  private long usageLagMillis = 1000;

  @Option(name = "--journal", metaVar = "N", usage = "entries kept in each journal")
  private int journalLimit = 200_000;

  @Option(name = "--threads", metaVar = "N", usage = "event loops")
  private int threads = 2;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  private Main() {}

  /** Exits with 2 if the command line is invalid and with 1 if a stand-in cannot be started. */
  public static void main(String[] arguments) {
    Main main = new Main();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
      if (main.help) {
        parser.printUsage(System.out);
        return;
      }
      main.run();
    } catch (CmdLineException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(2);
    } catch (StandInException e) {
      System.err.println(e.getMessage());
      System.exit(1);
    }
  }

  /** Starts the stand-ins; the event loops keep the process alive. */
  private void run() throws StandInException {
    var group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    var each = new Resources(accelerators, cores, memoryMegabytes);
    var fleet = new WorkerStandIns.Fleet(firstWorker, workers, each, usageLagMillis);
    var limits = new ExecutorStandIns.Limits(slots, connections);
    var sizes =
        new StandInProcess.Sizes(executors, smallExecutors, vms, limits, fleet, journalLimit);
    var process = new StandInProcess(group, kind, new InetSocketAddress(host, port), sizes);
    String properties = properties(process.addresses());
    if (portsFile != null) {
      write(portsFile, properties);
    } else {
      System.out.print(properties);
    }
    System.out.println("ready");
  }

  private static String properties(Map<String, InetSocketAddress> addresses) {
    return addresses.entrySet().stream()
        .map(e -> e.getKey() + "=" + hostAndPort(e.getValue()) + "\n")
        .collect(Collectors.joining());
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Writes the file atomically, so that a waiting script never reads a part of it. */
  private static void write(Path file, String properties) throws StandInException {
    Path temporary = file.resolveSibling(file.getFileName() + ".part");
    try {
      Files.writeString(temporary, properties);
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new StandInException("write", file.toString(), e);
    }
  }
}
