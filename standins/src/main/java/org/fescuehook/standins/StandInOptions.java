package org.fescuehook.standins;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command line of the stand-ins. */
final class StandInOptions {

  /** What a process stands in for. */
  enum Kind {
    LOG,
    LIST,
    EXECUTORS,
    WORKERS,
    ALL
  }

  @Argument(required = true, metaVar = "log|list|executors|workers|all", usage = "what to start")
  @Nullable Kind kind;

  @Option(name = "--host", metaVar = "IP", usage = "where to listen")
  String host = "127.0.0.1";

  @Option(name = "--port", metaVar = "N", usage = "first port; 0 chooses free ones")
  int port;

  @Option(name = "--ports-file", metaVar = "FILE", usage = "where to write the addresses")
  @Nullable Path portsFile;

  @Option(name = "--executors", metaVar = "N", usage = "how many executors")
  int executors = 3;

  @Option(name = "--slots", metaVar = "N", usage = "slots of each executor")
  int slots = 8;

  @Option(name = "--connections", metaVar = "N", usage = "connections of each executor")
  int connections = 64;

  @Option(name = "--workers", metaVar = "N", usage = "how many workers")
  int workers = 4;

  @Option(name = "--first-worker", metaVar = "N", usage = "number of the first worker")
  int firstWorker = 1;

  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of each worker")
  int accelerators = 8;

  @Option(name = "--cores", metaVar = "N", usage = "cores of each worker")
  int cores = 64;

  @Option(name = "--memory-megabytes", metaVar = "MIB", usage = "memory of each worker")
  long memoryMegabytes = 262_144;

  @Option(name = "--usage-lag-ms", metaVar = "MS", usage = "how old a reported usage can be")
  long usageLagMs = 1000;

  @Option(name = "--journal", metaVar = "N", usage = "entries kept in each journal")
  int journal = 200_000;

  @Option(name = "--threads", metaVar = "N", usage = "event loops")
  int threads = 2;

  @Option(name = "--help", help = true, usage = "print this help")
  boolean help;
}
