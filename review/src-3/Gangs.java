import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which members of gangs are there; they work from the moment when all members of a run are. */
final class Gangs {

  static final long TIMEOUT_MILLIS = 3000;

  private static final class Gang {
    final Set<String> present = new HashSet<>();
    boolean complete;
    boolean broken;
  }

  private final Map<String, Gang> gangs = new HashMap<>();

  private Gang gang(String task, long run) {
    return gangs.computeIfAbsent(task.substring(0, task.lastIndexOf('.')) + "#" + run, any -> new Gang());
  }

  synchronized void join(String task, long run, int members) {
    Gang gang = gang(task, run);
    gang.present.add(task);
    gang.complete |= gang.present.size() == members;
  }

  synchronized boolean complete(String task, long run) {
    return gang(task, run).complete;
  }

  synchronized boolean broken(String task, long run) {
    return gang(task, run).broken;
  }

  synchronized void leave(String task, long run, boolean done) {
    Gang gang = gang(task, run);
    gang.present.remove(task);
    gang.broken |= !done;
  }
}
