package org.fescuehook.bench.capacity;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;

/**
 * A share of the fleet of two years hence: 810 workers with 890 accelerators, 82 organisations and
 * 5,300 tasks, all cut down in the same proportion.
 *
 * @param workers number of workers
 */
record FleetOfSize(int workers) {
  /** Workers of the full size. */
  static final int FULL_WORKERS = 810;

  /** Tasks of the full size. */
  static final int FULL_TASKS = 5_300;

  private static final int FULL_ORGANISATIONS = 82;
  private static final int WORKERS_PER_RACK = 16;
  private static final int DOMAINS = 11;

  /** One worker in so many has a second accelerator: 890 on 810 workers. */
  private static final int SECOND_ACCELERATOR = 10;

  private static final int[] GANG_SIZES = {1, 2, 4, 8, 16, 1, 2, 64, 4, 8};
  private static final Capacity CPU_TASK = new Capacity(0, 4, 4096);
  private static final Capacity ACCELERATOR_TASK = new Capacity(1, 8, 16_384);

  int tasks() {
    return FULL_TASKS * workers / FULL_WORKERS;
  }

  int organisations() {
    return Math.max(1, FULL_ORGANISATIONS * workers / FULL_WORKERS);
  }

  Declarations declarations() {
    List<Organisation> organisations = new ArrayList<>();
    List<GuaranteedShape> guarantees = new ArrayList<>();
    for (int i = 0; i < organisations(); i++) {
      OrganisationId id = organisation(i);
      organisations.add(new Organisation(id, 1, 10 * workers, 64));
      guarantees.add(new GuaranteedShape("g" + i, id, new Shape(4, ACCELERATOR_TASK, 1), 1));
    }
    Rule rule = new Rule(10, List.of(), new Verdict.Admit(10, true));
    Fleet fleet = new Fleet(workerList(), List.of());
    return new Declarations(
        organisations, guarantees, List.of(rule), fleet, PolicyPreferences.DEFAULT);
  }

  /** Returns jobs whose members add up to all tasks: one in six of them needs accelerators. */
  List<Job> jobs() {
    List<Job> jobs = new ArrayList<>();
    int members = 0;
    for (int i = 0; members < tasks(); i++) {
      int size = Math.min(GANG_SIZES[i % GANG_SIZES.length], Math.max(1, tasks() - members));
      jobs.add(job("run-" + i, i, size, i % 6 == 0 && size < 64));
      members += size;
    }
    return jobs;
  }

  /** Returns jobs that need more accelerators than are likely to be free. */
  List<Job> waitingJobs() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 200 * workers / FULL_WORKERS; i++) {
      jobs.add(job("wait-" + i, i, 16, true));
    }
    return jobs;
  }

  private List<Worker> workerList() {
    List<Worker> list = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      int rack = i / WORKERS_PER_RACK;
      int accelerators = i % SECOND_ACCELERATOR == 0 ? 2 : 1;
      list.add(
          new Worker(
              new WorkerId("w-" + (1000 + i)),
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 1000 + i),
              new FailureDomain("d-" + rack % DOMAINS),
              new RackId("r-" + rack),
              new Capacity(accelerators, 64, 262_144)));
    }
    return list;
  }

  private Job job(String id, int index, int members, boolean accelerated) {
    return new Job(
        new JobId(id),
        organisation(index % organisations()),
        Optional.empty(),
        new Shape(members, accelerated ? ACCELERATOR_TASK : CPU_TASK, 0),
        false,
        true,
        14_400,
        1_000L * index,
        "forever");
  }

  private static OrganisationId organisation(int index) {
    return new OrganisationId("o-" + index);
  }
}
