import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A client of one tenant: hands jobs in with retries, cancels them and asks for their state. */
final class Client {

  private static final int DEADLINE_MILLIS = 3000;
  private static final int RETRIES = 4;
  private static final int PAUSE_MILLIS = 1000;

  private final Vms vms;
  private final Journal journal;
  private final AtomicInteger next = new AtomicInteger();

  Client(Vms vms, Journal journal) {
    this.vms = vms;
    this.journal = journal;
  }

  /** Hands a job in; a refused or unanswered request is repeated at another VM, four times at most. */
  boolean submit(String prefix, String key, String id, Map<String, Object> job) {
    for (int attempt = 0; attempt <= RETRIES; attempt++) {
      int status = call("POST", prefix, key, id, Json.write(job));
      if (status >= 200 && status < 300) {
        return true;
      }
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return false;
      }
    }
    return false;
  }

  /** Returns the status of one call at the next VM; 0 if there is no answer. */
  int call(String method, String prefix, String key, String id, String body) {
    return ask(method, prefix, key, id, body).status();
  }

  /** Returns the answer to one call at the next VM; its status is 0 if there is none. */
  Http.Answer ask(String method, String prefix, String key, String id, String body) {
    Vms.Vm vm = vms.all().get(next.getAndIncrement() % vms.all().size());
    Map<String, String> headers =
        Map.of("Host", "jobs.example", "Credential", key, "Deadline-Ms", Integer.toString(DEADLINE_MILLIS));
    long since = journal.millis();
    Http.Answer answer;
    try {
      answer = Http.send(vm.callers, method, prefix + id, headers, body.getBytes(StandardCharsets.UTF_8),
          DEADLINE_MILLIS);
    } catch (IOException e) {
      answer = new Http.Answer(0, "", String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
    }
    journal.note("client", "%s %s%s at %s: %s %s after %d ms".formatted(method, prefix, id, vm.name,
        answer.status() == 0 ? "no answer," : answer.status(), answer.text(), journal.millis() - since));
    return answer;
  }

  /**
   * Asks all VMs at the same time for the state of a job.
   *
   * @return the first state that was answered; empty if the job is not known or no VM answers in time
   */
  String stateAtAny(String prefix, String key, String id) throws InterruptedException {
    List<String> states = new CopyOnWriteArrayList<>();
    List<Thread> asking = new ArrayList<>();
    for (int i = 0; i < vms.all().size(); i++) {
      asking.add(Thread.ofVirtual().start(() -> states.add(state(prefix, key, id))));
    }
    for (Thread thread : asking) {
      thread.join();
    }
    return states.stream().filter(state -> !state.isEmpty()).findFirst().orElse("");
  }

  /** Returns the state of a job; empty if it is not known or there is no answer. */
  String state(String prefix, String key, String id) {
    Http.Answer answer = ask("GET", prefix, key, id, "");
    return answer.status() == 200 ? (String) Json.object(answer.text()).get("state") : "";
  }
}
