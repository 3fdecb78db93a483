package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobCommands.RecordEnds;
import org.verbenawheel.job.JobCommands.RecordStarts;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.worker.Worker;

/**
 * Plays a load on one pool of hosts, on a simulated clock, and records what callers get. Two
 * classes of jobs arrive at random; each asks several times its mean during the surge. Estimates
 * are off by up to nine tenths.
 */
final class OverloadedPool {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final int HOSTS = 45;
  private static final int MILLICORES_A_HOST = 32_000;
  private static final Duration ROUND = Duration.ofMillis(50);
  private static final Duration SURGE_BEGIN = Duration.ofSeconds(5);
  private static final Duration SURGE_END = Duration.ofSeconds(35);

  /** The last useful time of the longest class: three times its objective. */
  private static final Duration RECOVERY_TIME = Duration.ofMillis(3 * (2 * 2_240 + 600));

  private static final Duration END = Duration.ofSeconds(90);
  private static final int SURGE_FACTOR = 5;
  private static final Duration TARGET_LATENCY = Duration.ofMillis(600);
  private static final double STRETCH = 1.6;

  /** A class of jobs. */
  enum JobClass {
    QUOTE(10.0, 1, 850, 4_500),
    CAST(2.0, 2, 1_400, 9_800);

    private final double jobsASecond;
    private final int steps;
    private final int taskMilliseconds;
    private final int taskMillicores;

    JobClass(double jobsASecond, int steps, int taskMilliseconds, int taskMillicores) {
      this.jobsASecond = jobsASecond;
      this.steps = steps;
      this.taskMilliseconds = taskMilliseconds;
      this.taskMillicores = taskMillicores;
    }
  }

  /** What happened to the callers of one class. */
  static final class Tally {
    private int inTime;
    private int late;
    private int useless;
    private int laterCallers;
    private int laterCallersInTime;

    int inTime() {
      return inTime;
    }

    /**
     * Returns how many jobs ended after the last useful time that counts from their acceptance, or
     * never.
     */
    int useless() {
      return useless;
    }

    /**
     * Returns the share of callers served in time among those that came more than {@link
     * #RECOVERY_TIME} after the surge.
     */
    double shareInTimeAfterRecovery() {
      return (double) laterCallersInTime / laterCallers;
    }

    private void add(Call call, boolean isInTime) {
      inTime += isInTime ? 1 : 0;
      if (call.at().isAfter(START.plus(SURGE_END).plus(RECOVERY_TIME))) {
        laterCallers++;
        laterCallersInTime += isInTime ? 1 : 0;
      }
    }

    @Override
    public String toString() {
      return String.format(
          "in_time=%d late=%d useless=%d share_after_recovery=%.3f",
          inTime, late, useless, shareInTimeAfterRecovery());
    }
  }

  private final Random random;
  private final JobRegistry registry = new JobRegistry(Duration.ofMinutes(10));
  private final JobScheduler scheduler;
  private final List<Worker> hosts = new ArrayList<>();
  private final PriorityQueue<Call> calls = new PriorityQueue<>();
  private final PriorityQueue<Running> running = new PriorityQueue<>();
  private final Map<String, Call> accepted = new LinkedHashMap<>();
  private final Map<JobClass, Tally> tallies = new LinkedHashMap<>();
  private Instant now = START;
  private long index;

  OverloadedPool(long seed, JobScheduler scheduler) {
    this.scheduler = scheduler;
    this.random = new Random(seed);
    for (int host = 0; host < HOSTS; host++) {
      hosts.add(
          new Worker(
              "w" + host,
              1,
              "host-" + host,
              "p",
              "10.0.0.1:" + (host + 1),
              "z",
              new Worker.Capacity(MILLICORES_A_HOST, 640_000, 0),
              ImmutableList.of(),
              false));
    }
    for (JobClass jobClass : JobClass.values()) {
      tallies.put(jobClass, new Tally());
      addArrivals(jobClass);
    }
  }

  private void addArrivals(JobClass jobClass) {
    Instant at = START;
    for (int number = 0; at.isBefore(START.plus(END).minusSeconds(20)); number++) {
      boolean surge = !at.isBefore(START.plus(SURGE_BEGIN)) && at.isBefore(START.plus(SURGE_END));
      double rate = jobClass.jobsASecond * (surge ? SURGE_FACTOR : 1);
      at = at.plusMillis((long) (-Math.log(1 - random.nextDouble()) * 1_000 / rate));
      calls.add(new Call(at, jobClass, jobClass.name() + "-" + number, newJob(jobClass)));
    }
  }

  private JobSpecification newJob(JobClass jobClass) {
    ImmutableList.Builder<StepSpecification> steps = ImmutableList.builder();
    for (int step = 0; step < jobClass.steps; step++) {
      double error = 0.5 + 1.4 * random.nextDouble();
      steps.add(
          StepSpecification.builder()
              .taskCount(8)
              .uses(jobClass.taskMillicores, 1, 0)
              .estimateMilliseconds((int) (jobClass.taskMilliseconds * error))
              .dependsOn(step == 0 ? ImmutableList.of() : ImmutableList.of(step - 1))
              .build());
    }
    return new JobSpecification("x", steps.build(), 1, 0, 0);
  }

  /** Plays the whole load and returns what the callers of each class got. */
  ImmutableMap<JobClass, Tally> play() {
    while (now.isBefore(START.plus(END))) {
      now = now.plus(ROUND);
      endTasks();
      acceptCalls();
      schedule();
    }
    accepted.values().forEach(call -> count(call, Optional.empty()));
    return ImmutableMap.copyOf(tallies);
  }

  private void endTasks() {
    while (!running.isEmpty() && !running.peek().endsAt().isAfter(now)) {
      Running ended = running.remove();
      TaskId task = TaskId.parse(ended.task()).orElseThrow();
      apply(new RecordEnds(ImmutableList.of(new RunEnd(ended.task(), 1, RunEnding.DONE, ""))));
      Job job = registry.find(task.job()).orElseThrow();
      Call call = accepted.get(job.id());
      if (job.phase() == JobPhase.COMPLETED && call != null) {
        accepted.remove(job.id());
        count(call, Optional.of(ended.endsAt()));
      }
    }
  }

  private void acceptCalls() {
    while (!calls.isEmpty() && !calls.peek().at().isAfter(now)) {
      Call call = calls.remove();
      long objective =
          (long) (STRETCH * call.job().criticalPathMilliseconds()) + TARGET_LATENCY.toMillis();
      apply(new AcceptJob(call.id(), "q", call.job(), new Limits("p", 0, 3, objective)));
      accepted.put(call.id(), call);
    }
  }

  private void schedule() {
    List<FreeCapacity> candidates = new ArrayList<>();
    for (Worker host : hosts) {
      FreeCapacity free = new FreeCapacity(host, false, ImmutableSet.of(), Integer.MAX_VALUE);
      registry.boundTo(host.id()).forEach(free::reserve);
      candidates.add(free);
    }
    SchedulingResult result =
        scheduler.decide(registry.active(), candidates, now, now.toEpochMilli());
    apply(new RecordStarts(result.starts()));
    for (RunStart start : result.starts()) {
      TaskId task = TaskId.parse(start.task()).orElseThrow();
      JobClass jobClass = JobClass.valueOf(task.job().substring(0, task.job().indexOf('-')));
      long milliseconds = (long) (jobClass.taskMilliseconds * (0.75 + 0.5 * random.nextDouble()));
      running.add(new Running(now.plusMillis(milliseconds), start.task()));
    }
  }

  private void count(Call call, Optional<Instant> endedAt) {
    Tally tally = tallyOf(call);
    long objective =
        (long) (STRETCH * call.jobClass().steps * call.jobClass().taskMilliseconds)
            + TARGET_LATENCY.toMillis();
    boolean inTime =
        endedAt.filter(end -> !end.isAfter(call.at().plusMillis(objective))).isPresent();
    boolean useful =
        endedAt.filter(end -> !end.isAfter(call.at().plusMillis(3 * objective))).isPresent();
    tally.add(call, inTime);
    if (!inTime && useful) {
      tally.late++;
    } else if (!inTime) {
      tally.useless++;
    }
  }

  private Tally tallyOf(Call call) {
    return Objects.requireNonNull(tallies.get(call.jobClass()));
  }

  private void apply(ControlCommand command) {
    var unused = registry.apply(command, new ApplyContext(++index, now));
  }

  private record Call(Instant at, JobClass jobClass, String id, JobSpecification job)
      implements Comparable<Call> {
    @Override
    public int compareTo(Call other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : id.compareTo(other.id);
    }
  }

  private record Running(Instant endsAt, String task) implements Comparable<Running> {
    @Override
    public int compareTo(Running other) {
      int byTime = endsAt.compareTo(other.endsAt);
      return byTime != 0 ? byTime : task.compareTo(other.task);
    }
  }
}
