package org.fescuehook.bench.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fescuehook.bench.Subcommand;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Measures slopes of control by size, prints them as a table and draws them. */
public final class MeasureCapacity implements Subcommand {
  private static final int[] WORKERS = {100, 200, 405, 810};
  private static final int[] TASKS = {0, 1_000, 2_500, 5_300};
  private static final int[] VMS = {1, 3, 5, 7};
  private static final int FEW_WORKERS = 30;
  private static final String BY_WORKERS = "workers";

  @Option(name = "--programs", metaVar = "DIR", usage = "directory of the built programs")
  private Path programs = Path.of("target");

  @Option(name = "--plots", metaVar = "DIR", usage = "directory for the plots")
  private Path plots = Path.of("docs", "plots");

  @Option(name = "--window", metaVar = "SECONDS", usage = "time over which processes are metered")
  private int windowSeconds = 24;

  @Option(name = "--no-processes", usage = "measure only what needs no processes")
  private boolean noProcesses;

  private final CpuClock clock = new CpuClock();
  private final List<Slope> slopes = new ArrayList<>();

  @Override
  public int run(String[] arguments) throws Exception {
    new CmdLineParser(this).parseArgument(arguments);
    measureInProcess();
    if (!noProcesses) {
      ClusterCost clusters =
          new ClusterCost(programs.toAbsolutePath(), Duration.ofSeconds(windowSeconds));
      measureWorkers(clusters);
      measureTasks(clusters);
      measureVms(clusters);
    }
    print();
    return 0;
  }

  private void measureInProcess() throws Exception {
    PlanCost plans = new PlanCost(clock);
    StateCost states = new StateCost(clock);
    ConfigurationCost configurations = new ConfigurationCost(clock);
    List<Slope.Point> plan = new ArrayList<>();
    List<Slope.Point> parse = new ArrayList<>();
    List<Slope.Point> text = new ArrayList<>();
    List<Slope.Point> heap = new ArrayList<>();
    List<Slope.Point> fold = new ArrayList<>();
    List<Slope.Point> log = new ArrayList<>();
    for (int workers : WORKERS) {
      FleetOfSize fleet = new FleetOfSize(workers);
      plan.add(new Slope.Point(workers, plans.micros(fleet) / 1e3));
      parse.add(new Slope.Point(workers, configurations.micros(fleet) / 1e3));
      byte[] bytes = configurations.text(fleet).getBytes(StandardCharsets.UTF_8);
      text.add(new Slope.Point(workers, bytes.length / 1e3));
      StateCost.Cost cost = states.of(fleet);
      heap.add(new Slope.Point(fleet.tasks(), cost.heapKilobytes()));
      fold.add(new Slope.Point(fleet.tasks(), cost.foldMillis()));
      log.add(new Slope.Point(fleet.tasks(), cost.logKilobytes()));
    }
    slopes.add(new Slope("plan of a full fleet", BY_WORKERS, "ms of a core", plan));
    slopes.add(new Slope("configuration parsed", BY_WORKERS, "ms of a core", parse));
    slopes.add(new Slope("configuration text", BY_WORKERS, "kB", text));
    slopes.add(new Slope("folded state", "running tasks", "kB of heap", heap));
    slopes.add(new Slope("fold from the start", "running tasks", "ms of a core", fold));
    slopes.add(new Slope("records of live jobs", "running tasks", "kB in the log", log));
  }

  private void measureWorkers(ClusterCost clusters) throws Exception {
    ClusterSlopes owner = new ClusterSlopes("owner", BY_WORKERS);
    for (int workers : WORKERS) {
      int tasks = new FleetOfSize(workers).tasks();
      owner.add(workers, clusters.of(1, workers, tasks).getFirst());
    }
    slopes.addAll(owner.slopes());
  }

  private void measureTasks(ClusterCost clusters) throws Exception {
    ClusterSlopes owner = new ClusterSlopes("owner of 810 workers", "running tasks");
    ClusterSlopes standBy = new ClusterSlopes("stand-by of 810 workers", "running tasks");
    for (int tasks : TASKS) {
      List<ClusterCost.Cost> costs = clusters.of(2, FleetOfSize.FULL_WORKERS, tasks);
      owner.add(tasks, costs.getFirst());
      standBy.add(tasks, costs.getLast());
    }
    slopes.addAll(owner.slopes());
    slopes.addAll(standBy.slopes());
  }

  private void measureVms(ClusterCost clusters) throws Exception {
    ClusterSlopes owner = new ClusterSlopes("idle owner", "entry VMs");
    for (int vms : VMS) {
      owner.add(vms, clusters.of(vms, FEW_WORKERS, 0).getFirst());
    }
    slopes.addAll(owner.slopes());
  }

  private void print() throws IOException {
    SlopePlot plot = new SlopePlot(plots);
    System.out.println("| Cost | Against | Unit | Measured | Fit | Largest residual | R2 |");
    System.out.println("|---|---|---|---|---|---|---|");
    for (Slope slope : slopes) {
      System.out.println(slope.row());
      plot.write(slope);
    }
    System.out.printf(
        Locale.ROOT,
        "%n%d slopes, plots in %s; processor time is that of the measured thread or process%n",
        slopes.size(),
        plots);
  }
}
