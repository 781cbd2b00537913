package org.fescuehook.bench.tryout;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import org.fescuehook.bench.Subcommand;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.cluster.ClusterSizes;
import org.fescuehook.bench.cluster.ProcessCluster;
import org.fescuehook.bench.outcome.OutcomeTable;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Starts a small cluster of processes, breaks it, and prints stated and seen outcomes. */
public final class TryCommand implements Subcommand {
  private static final int LOOPS = 2;

  @Option(name = "--programs", metaVar = "DIR", usage = "directory of the built programs")
  private Path programs = Path.of("target");

  @Option(name = "--keep", usage = "keep settings and output of the processes, and print where")
  private boolean keep;

  @Override
  public int run(String[] arguments) throws Exception {
    new CmdLineParser(this).parseArgument(arguments);
    OutcomeTable table = new OutcomeTable(System.out);
    ProcessCluster cluster =
        new ProcessCluster(programs.toAbsolutePath(), ClusterSizes.small(), keep);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
    try (CallerClient client = new CallerClient(group)) {
      new Tour(new TourCluster(cluster, client), table).run();
    } finally {
      cluster.close();
      group.shutdownGracefully();
    }
    long left = ProcessHandle.current().descendants().count();
    table.addEqual("processes left behind", 0L, left);
    table.print();
    if (keep) {
      System.out.println("settings and output: " + cluster.directory());
    }
    return table.allAsStated() ? 0 : 1;
  }
}
