package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Locale;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.Configurations;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * Derives a configuration from answers that do not contradict one another, and records the reason
 * for each derived number.
 */
public final class ConfigurationGenerator {
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final int MAXIMUM_QUEUE_LIMIT = 1_000_000;
  private static final double SHORT_WORK_FACTOR = 3;
  private static final double INTERACTIVE_RETRY_SHARE = 0.1;
  private static final double BATCH_RETRY_SHARE = 0.2;
  private static final double LARGEST_LONG_SHARE_INTERACTIVE = 0.5;
  private static final double LARGEST_LONG_SHARE_BATCH = 1.0;

  private final Answers answers;
  private final ImmutableList.Builder<DerivedNumber> numbers = ImmutableList.builder();

  private ConfigurationGenerator(Answers answers) {
    this.answers = answers;
  }

  /**
   * Generates a configuration.
   *
   * @param answers the answers of a team
   * @throws ContradictionException if the answers contradict one another
   */
  public static GeneratedConfiguration generate(Answers answers) throws ContradictionException {
    ImmutableList<Contradiction> contradictions = ContradictionCheck.check(answers);
    if (!contradictions.isEmpty()) {
      throw new ContradictionException(contradictions);
    }
    return new ConfigurationGenerator(answers).generate();
  }

  private GeneratedConfiguration generate() {
    ImmutableMap.Builder<ServiceName, ServiceSettings> services = ImmutableMap.builder();
    ImmutableMap.Builder<PoolName, PoolSettings> pools = ImmutableMap.builder();
    for (ServiceAnswers service : answers.services().values()) {
      services.put(service.name(), serviceSettings(service));
      PoolSettings pool = poolSettings(service);
      pools.put(pool.name(), pool);
    }
    Configuration configuration =
        new Configuration(answers.deployment(), services.buildOrThrow(), pools.buildOrThrow());
    return new GeneratedConfiguration(configuration, numbers.build());
  }

  private ServiceSettings serviceSettings(ServiceAnswers service) {
    long deadline = deadlineMilliseconds(service);
    return ServiceSettings.builder(service.name(), new PoolName(service.name().value()))
        .workClass(service.workClass())
        .availabilityBudget(service.unansweredShare())
        .deadlineMilliseconds(deadline)
        .queueLimit(queueLimit(service, deadline))
        .slotsPerEndpoint(service.slotsPerRunner())
        .connectionsPerEndpoint(service.connectionsPerRunner())
        .shortWorkMilliseconds(shortWorkMilliseconds(service, deadline))
        .longWorkSlotShare(longWorkSlotShare(service))
        .retryBudgetShare(retryBudgetShare(service))
        .build();
  }

  private long deadlineMilliseconds(ServiceAnswers service) {
    double networkMilliseconds = answers.network().callerRoundTripMilliseconds();
    long deadline = (long) Math.floor(service.longestWaitMilliseconds() - networkMilliseconds);
    return recordServiceNumber(
        service,
        "deadlineMilliseconds",
        deadline,
        format(
            "the caller waits %d ms, of which %.1f ms are network time between caller and entry",
            service.longestWaitMilliseconds(), networkMilliseconds));
  }

  private int queueLimit(ServiceAnswers service, long deadline) {
    int runners = runnersNeeded(service);
    double internal = answers.network().internalRoundTripMilliseconds(service.runningTwice());
    double wait = deadline - internal - service.usualWorkMilliseconds();
    double capacity = service.capacityPerSecond(runners);
    double queued = capacity * Math.max(0, wait) / MILLISECONDS_PER_SECOND;
    int limit = (int) Math.min(MAXIMUM_QUEUE_LIMIT, Math.max(1, Math.floor(queued)));
    return recordServiceNumber(
        service,
        "queueLimit",
        limit,
        format(
            "%d runners answer %.1f requests a second, and a request can wait %.0f ms and still be"
                + " answered in time; a peak of %.0f s brings %.0f requests more than they can answer"
                + " during it",
            runners, capacity, wait, service.peakSeconds(), service.peakSurplus(runners)));
  }

  private long shortWorkMilliseconds(ServiceAnswers service, long deadline) {
    double limit = SHORT_WORK_FACTOR * service.usualWorkMilliseconds();
    long rounded = Math.min(deadline, Math.max(1, (long) Math.ceil(limit)));
    return recordServiceNumber(
        service,
        "shortWorkMilliseconds",
        rounded,
        format(
            "%.0f times the usual %.1f ms, at most the deadline",
            SHORT_WORK_FACTOR, service.usualWorkMilliseconds()));
  }

  /**
   * Returns the share of slots that long work may hold: its share of the slot time, rounded up to
   * whole slots of a runner; at least one slot, so that it can run, and at most the limit of the
   * work class.
   */
  private double longWorkSlotShare(ServiceAnswers service) {
    double oneSlot = 1.0 / service.slotsPerRunner();
    double largest =
        service.workClass() == WorkClass.INTERACTIVE
            ? LARGEST_LONG_SHARE_INTERACTIVE
            : LARGEST_LONG_SHARE_BATCH;
    double wholeSlots = Math.ceil(service.longWorkLoadShare() / oneSlot) * oneSlot;
    double share = Math.max(oneSlot, Math.min(largest, wholeSlots));
    return recordServiceNumber(
        service,
        "longWorkSlotShare",
        share,
        format(
            "long requests need %.3f of the slot time; rounded up to whole slots of %d, at most a"
                + " share of %.1f",
            service.longWorkLoadShare(), service.slotsPerRunner(), largest));
  }

  private double retryBudgetShare(ServiceAnswers service) {
    boolean interactive = service.workClass() == WorkClass.INTERACTIVE;
    return recordServiceNumber(
        service,
        "retryBudgetShare",
        interactive ? INTERACTIVE_RETRY_SHARE : BATCH_RETRY_SHARE,
        interactive
            ? "retries add at most a tenth to the load, so that failing runners do not slow the"
                + " others"
            : "no caller waits, so a fifth more load from retries is acceptable");
  }

  private PoolSettings poolSettings(ServiceAnswers service) {
    PoolName name = new PoolName(service.name().value());
    boolean spare = name.equals(answers.sparePool());
    return new PoolSettings(
        name,
        spare ? PoolRole.SPARE : PoolRole.SERVING,
        minimumHosts(service),
        spare ? spareMaximumHosts(service) : service.runnersAtMost());
  }

  private int minimumHosts(ServiceAnswers service) {
    int runners = runnersNeeded(service);
    int runnersLeft = zoneLoss().runnersLeft(runners);
    return recordPoolNumber(
        service,
        "minimumHosts",
        runners,
        format(
            "with one zone lost %d runners are left, which answer %.1f requests a second at %.0f%%"
                + " utilization; the mean load is %.1f; %d to %d runners are allowed",
            runnersLeft,
            service.capacityPerSecond(runnersLeft) * ZoneLoss.TARGET_UTILIZATION,
            ZoneLoss.TARGET_UTILIZATION * 100,
            service.requestsPerSecond(),
            service.runnersAtLeast(),
            service.runnersAtMost()));
  }

  private int spareMaximumHosts(ServiceAnswers spare) {
    int returnable =
        answers.services().values().stream()
            .filter(service -> !service.name().equals(spare.name()))
            .mapToInt(service -> service.runnersAtMost() - runnersNeeded(service))
            .sum();
    int maximum =
        Math.min(Configurations.MAXIMUM_HOSTS_PER_POOL, spare.runnersAtMost() + returnable);
    return recordPoolNumber(
        spare,
        "maximumHosts",
        maximum,
        "its own "
            + spare.runnersAtMost()
            + " and the "
            + returnable
            + " that the other pools can give back above their minimum");
  }

  private int runnersNeeded(ServiceAnswers service) {
    return zoneLoss().runnersNeeded(service);
  }

  private ZoneLoss zoneLoss() {
    return new ZoneLoss(answers.availabilityZones().size());
  }

  private <N extends Number> N recordServiceNumber(
      ServiceAnswers service, String key, N value, String reason) {
    numbers.add(
        new DerivedNumber("services." + service.name() + "." + key, value.toString(), reason));
    return value;
  }

  private int recordPoolNumber(ServiceAnswers service, String key, int value, String reason) {
    numbers.add(
        new DerivedNumber("pools." + service.name() + "." + key, Integer.toString(value), reason));
    return value;
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
