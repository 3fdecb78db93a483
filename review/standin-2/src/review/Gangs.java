package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * How the runners keep the members of a gang together: they work from the moment when all subtasks
 * of one run are present, and end together.
 */
final class Gangs {
  private static final long GANG_TIMEOUT_MS = 3_000;
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Map<String, List<Runner.Run>> present = new HashMap<>();
  private final Set<String> split = new HashSet<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "gangs");
            thread.setDaemon(true);
            return thread;
          });
  private final Record record;

  Gangs(Record record) {
    this.record = record;
  }

  synchronized void add(String step, int size) {
    sizes.put(step, size);
  }

  synchronized boolean isGang(String task) {
    return sizes.containsKey(Jobs.stepOf(task));
  }

  /** Returns the runs of gangs whose members carried different checkpoints. */
  synchronized Set<String> splitRuns() {
    return Set.copyOf(split);
  }

  synchronized void onStarted(Runner.Run run) {
    String key = Jobs.stepOf(run.task) + "/" + run.number;
    List<Runner.Run> members = present.computeIfAbsent(key, unused -> new ArrayList<>());
    members.add(run);
    boolean same =
        members.stream().map(member -> member.resumedFrom).distinct().count() == 1;
    if (!same && split.add(key)) {
      record.line("gang %s: its members carry different checkpoints", key);
    }
    if (same && members.size() == sizes.get(Jobs.stepOf(run.task))) {
      record.line("gang %s is complete and works", key);
      for (Runner.Run member : List.copyOf(members)) {
        timer.execute(() -> member.runner().beginWork(member));
      }
    }
    var unused = timer.schedule(() -> checkAlone(run), GANG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void checkAlone(Runner.Run run) {
    if (!run.atWork) {
      run.runner().end(run, "alone");
    }
  }

  /** Ends the other members of a run of which one has ended. */
  void onEnded(Runner.Run ended) {
    String key = Jobs.stepOf(ended.task) + "/" + ended.number;
    List<Runner.Run> others;
    synchronized (this) {
      others = present.remove(key);
    }
    if (others == null || !ended.atWork) {
      return;
    }
    boolean finished =
        ended.runner().allEnds().stream()
            .anyMatch(
                end ->
                    end.task().equals(ended.task)
                        && end.run() == ended.number
                        && end.how().equals("done"));
    for (Runner.Run other : others) {
      if (other != ended) {
        timer.execute(() -> other.runner().end(other, finished ? "done" : "broken"));
      }
    }
  }
}
