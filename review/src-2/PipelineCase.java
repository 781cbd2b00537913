import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A client asks for the states of eight jobs on one connection, without waiting for each answer.
 * The owner is killed just before. Each answer that comes has to be that of its own request.
 */
final class PipelineCase {

  private static final int JOBS = 8;

  private PipelineCase() {}

  static boolean breaks(Path directory, Record record, boolean trouble) throws Exception {
    try (Cluster cluster = new Cluster(directory, record, 3)) {
      Case.endWithThis(cluster);
      for (int i = 0; i < 12; i++) {
        cluster.addExecutor("kind-a", i / 4);
      }
      cluster.start();
      Cluster.Vm owner = cluster.owner();
      Cluster.Vm asked = cluster.vms().stream().filter(vm -> vm != owner).findFirst().orElseThrow();
      Map<String, Boolean> ends = new LinkedHashMap<>();
      for (int i = 0; i < JOBS; i++) {
        boolean ended = i % 2 == 0;
        String job = "00000000000000d" + i;
        ends.put(job, ended);
        cluster.submit(asked, job, Cluster.step(2, ended ? 500 : 30_000), ended ? 500 : 30_000);
      }
      for (Map.Entry<String, Boolean> job : ends.entrySet()) {
        String expected = job.getValue() ? "completed" : "in_progress";
        cluster.awaitCondition(
            10,
            job + " as expected",
            () -> cluster.state(asked, job.getKey()).equals(Optional.of(expected)));
      }
      return asksAtOnce(record, owner, asked, new ArrayList<>(ends.keySet()), ends, trouble);
    }
  }

  private static boolean asksAtOnce(
      Record record,
      Cluster.Vm owner,
      Cluster.Vm asked,
      List<String> jobs,
      Map<String, Boolean> ends,
      boolean trouble)
      throws Exception {
    boolean broken = false;
    try (Http.Client client = new Http.Client(asked.callers(), 4000)) {
      if (trouble) {
        owner.kill();
      }
      for (String job : jobs) {
        client.send(Cluster.request("GET", job, new byte[0]));
        record.write(asked.name() + " GET " + job + " sent");
      }
      for (String job : jobs) {
        Http.Response answer = client.receive();
        record.write(asked.name() + " GET " + job + " -> " + answer.status() + " " + answer.text());
        boolean completed = answer.status() == 200 && answer.text().contains("completed");
        if (completed && !ends.get(job)) {
          record.write("job " + job + " is shown as completed, and its tasks run");
          broken = true;
        }
      }
    } catch (IOException e) {
      record.write("the connection ended: " + e.getMessage());
    }
    return broken;
  }
}
