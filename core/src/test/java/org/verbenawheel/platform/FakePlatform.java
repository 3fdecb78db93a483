package org.verbenawheel.platform;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.request.RunVerdict;

/**
 * An in-memory platform: operations take time, usage is reported with a delay, and answers can be
 * lost. Records every effect, which reveals one performed twice.
 */
public final class FakePlatform implements Platform {
  public static final Duration POWER_ON_TIME = Duration.ofMinutes(4);
  public static final Duration USAGE_LAG = Duration.ofSeconds(60);

  private final InstantSource clock;
  private final Map<OperationId, HostOperation> operations = new HashMap<>();
  private final Map<OperationId, Instant> doneAt = new HashMap<>();
  private final Map<HostName, Long> fences = new HashMap<>();
  private final Set<HostName> broken = new HashSet<>();
  private final List<String> effects = new ArrayList<>();
  private final List<HostUsage> measured = new ArrayList<>();
  private int answersToLose;

  public FakePlatform(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the performed effects in order, each as {@code KIND host}. */
  public ImmutableList<String> effects() {
    return ImmutableList.copyOf(effects);
  }

  public void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Makes every later report on the host's operations {@code FAILED}. */
  public void breakHost(HostName host) {
    broken.add(host);
  }

  public void measure(HostUsage usage) {
    measured.add(usage);
  }

  @Override
  public OperationReport perform(HostOperation operation) throws PlatformException {
    HostOperation earlier = operations.get(operation.id());
    if (earlier == null) {
      begin(operation);
    } else if (!earlier.equals(operation)) {
      throw new PlatformException(RunVerdict.NOT_RUN, "operation differs: " + operation.id());
    }
    if (answersToLose > 0) {
      answersToLose--;
      throw new PlatformException(RunVerdict.MAY_HAVE_RUN, "the answer was lost: send it again");
    }
    return report(operation);
  }

  private void begin(HostOperation operation) throws PlatformException {
    if (fences.getOrDefault(operation.host(), 0L) > operation.fence()) {
      throw new PlatformException(RunVerdict.NOT_RUN, "superseded by a newer operation");
    }
    fences.put(operation.host(), operation.fence());
    operations.put(operation.id(), operation);
    doneAt.put(operation.id(), clock.instant().plus(durationOf(operation.kind())));
    effects.add(operation.kind() + " " + operation.host());
  }

  private OperationReport report(HostOperation operation) {
    if (broken.contains(operation.host())) {
      return new OperationReport(operation.id(), OperationProgress.FAILED, "no answer from host");
    }
    boolean done = !clock.instant().isBefore(doneAt.getOrDefault(operation.id(), Instant.MAX));
    return new OperationReport(
        operation.id(), done ? OperationProgress.DONE : OperationProgress.RUNNING, "");
  }

  private static Duration durationOf(EffectKind kind) {
    return switch (kind) {
      case POWER_ON -> POWER_ON_TIME;
      case DRAIN, REBOOT -> Duration.ofSeconds(30);
      case RESUME, LEASE, POWER_OFF -> Duration.ZERO;
    };
  }

  @Override
  public UsageReport usageSince(Instant since) {
    Instant through = clock.instant().minus(USAGE_LAG);
    ImmutableList<HostUsage> recent =
        measured.stream()
            .filter(usage -> usage.measuredAt().isAfter(since))
            .filter(usage -> !usage.measuredAt().isAfter(through))
            .collect(ImmutableList.toImmutableList());
    return new UsageReport(through, recent);
  }
}
