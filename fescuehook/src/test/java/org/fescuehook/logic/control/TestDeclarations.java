package org.fescuehook.logic.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Declarations and requests for the tests. The text of declarations is {@code WORKERS EXECUTORS
 * ANY_TEXT}, with the numbers of workers and executors; a text that begins with {@code bad} is
 * invalid.
 */
final class TestDeclarations {
  static final Capacity CAPACITY = new Capacity(8, 64, 262_144);
  static final OrganisationId ORGANISATION = new OrganisationId("lab");

  private TestDeclarations() {}

  /** Parses the texts of the tests. */
  static final class Reader implements DeclarationsReader {
    @Override
    public Declarations parse(String text) throws InvalidDeclarationsException {
      if (text.startsWith("bad")) {
        throw new InvalidDeclarationsException(text);
      }
      String[] words = text.split(" ");
      return declarations(Integer.parseInt(words[0]), Integer.parseInt(words[1]));
    }
  }

  static WorkerId worker(int number) {
    return new WorkerId("worker-" + number);
  }

  static Declarations declarations(int workerCount, int executorCount) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    FailureDomain domain = new FailureDomain("domain");
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < workerCount; i++) {
      workers.add(new Worker(worker(i), address, domain, new RackId("rack"), CAPACITY));
    }
    List<Executor> executors = new ArrayList<>();
    for (int i = 0; i < executorCount; i++) {
      executors.add(new Executor(new ExecutorId("executor-" + i), address, domain, 8, 64));
    }
    return new Declarations(
        List.of(new Organisation(ORGANISATION, 1, 1000, 100)),
        List.of(),
        List.of(),
        new Fleet(workers, executors),
        PolicyPreferences.DEFAULT);
  }

  static Request.Publish publish(long base, String text) {
    return new Request.Publish(base, "operator of " + text, "test", text);
  }

  static Request.Submit gang(int members, String command) {
    return submit(Optional.empty(), members, command);
  }

  static Request.Submit submit(Optional<String> requestId, int members, String command) {
    Shape shape = new Shape(members, new Capacity(8, 8, 1024), 0);
    return new Request.Submit(ORGANISATION, requestId, shape, false, true, 60, command);
  }
}
