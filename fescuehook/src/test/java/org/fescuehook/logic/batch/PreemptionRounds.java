package org.fescuehook.logic.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.model.batch.TaskRun;

/**
 * Counts, from the log events of a {@link BatchCluster}, how often runs were stopped for a job
 * without a start of the job in between. What is stopped within one step of the virtual clock
 * counts as one round.
 */
final class PreemptionRounds {

  private static final Pattern BENEFICIARY = Pattern.compile("job (\\w+) needs its place.*");

  private final BatchCluster cluster;
  private final Map<String, Integer> rounds = new HashMap<>();
  private int stopsSeen;
  private int startsSeen;
  private int most;
  private int total;
  private int stoppedRuns;

  PreemptionRounds(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Counts what has happened since the last call. */
  void update() {
    List<BatchCommand.Note> stops = cluster.notes(BatchLogEvent.RUN_STOPPING);
    Set<String> stoppedFor = new HashSet<>();
    for (BatchCommand.Note note : stops.subList(stopsSeen, stops.size())) {
      Matcher matcher = BENEFICIARY.matcher(String.valueOf(note.arguments().get(2)));
      if (matcher.matches()) {
        stoppedFor.add(matcher.group(1));
        stoppedRuns++;
      }
    }
    for (String job : stoppedFor) {
      most = Math.max(most, rounds.merge(job, 1, Integer::sum));
      total++;
    }
    List<BatchCommand.Note> starts = cluster.notes(BatchLogEvent.RUN_PLACED);
    for (BatchCommand.Note note : starts.subList(startsSeen, starts.size())) {
      rounds.remove(((TaskRun) note.arguments().getFirst()).task().job());
    }
    stopsSeen = stops.size();
    startsSeen = starts.size();
  }

  /** Returns the largest number of rounds for one job without a start of it. */
  int most() {
    return most;
  }

  /** Returns the number of rounds for all jobs. */
  int total() {
    return total;
  }

  /** Returns the number of runs that were stopped for other jobs. */
  int stoppedRuns() {
    return stoppedRuns;
  }
}
