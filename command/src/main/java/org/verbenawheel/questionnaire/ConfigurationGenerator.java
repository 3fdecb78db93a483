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

/** Makes a configuration of answers that do not contradict one another. */
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
   * @param answers what a team answered
   * @throws ContradictionException if the answers cannot all be kept
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
      services.put(service.name(), service(service));
      PoolSettings pool = pool(service);
      pools.put(pool.name(), pool);
    }
    Configuration configuration =
        new Configuration(answers.deployment(), services.buildOrThrow(), pools.buildOrThrow());
    return new GeneratedConfiguration(configuration, numbers.build());
  }

  private ServiceSettings service(ServiceAnswers service) {
    long deadline = deadline(service);
    return ServiceSettings.builder(service.name(), new PoolName(service.name().value()))
        .workClass(service.workClass())
        .availabilityBudget(service.unansweredShare())
        .deadlineMilliseconds(deadline)
        .queueLimit(queueLimit(service, deadline))
        .slotsPerEndpoint(service.slotsPerRunner())
        .connectionsPerEndpoint(service.connectionsPerRunner())
        .shortWorkMilliseconds(shortWork(service, deadline))
        .longWorkSlotShare(longWorkSlotShare(service))
        .retryBudgetShare(retryBudgetShare(service))
        .build();
  }

  private long deadline(ServiceAnswers service) {
    double wire = answers.network().callerRoundTripMilliseconds();
    long deadline = (long) Math.floor(service.longestWaitMilliseconds() - wire);
    return note(
        service,
        "deadlineMilliseconds",
        deadline,
        text(
            "the caller waits %d ms, of which %.1f ms are on the wire between caller and entry",
            service.longestWaitMilliseconds(), wire));
  }

  private int queueLimit(ServiceAnswers service, long deadline) {
    int runners = needed(service);
    double inside = answers.network().insideRoundTripMilliseconds(service.runningTwice());
    double wait = deadline - inside - service.usualWorkMilliseconds();
    double capacity = service.capacityPerSecond(runners);
    double waiting = capacity * Math.max(0, wait) / MILLISECONDS_PER_SECOND;
    int limit = (int) Math.min(MAXIMUM_QUEUE_LIMIT, Math.max(1, Math.floor(waiting)));
    return note(
        service,
        "queueLimit",
        limit,
        text(
            "%d runners answer %.1f requests a second, and a request can wait %.0f ms and still be"
                + " answered in time; a peak of %.0f s brings %.0f more than they answer in it",
            runners, capacity, wait, service.peakSeconds(), service.peakSurplus(runners)));
  }

  private long shortWork(ServiceAnswers service, long deadline) {
    double limit = SHORT_WORK_FACTOR * service.usualWorkMilliseconds();
    long rounded = Math.min(deadline, Math.max(1, (long) Math.ceil(limit)));
    return note(
        service,
        "shortWorkMilliseconds",
        rounded,
        text(
            "%.0f times the usual %.1f ms, at most the deadline",
            SHORT_WORK_FACTOR, service.usualWorkMilliseconds()));
  }

  /** Long work gets the share of slots that it asks for, one slot of a runner at least. */
  private double longWorkSlotShare(ServiceAnswers service) {
    double oneSlot = 1.0 / service.slotsPerRunner();
    double largest =
        service.workClass() == WorkClass.INTERACTIVE
            ? LARGEST_LONG_SHARE_INTERACTIVE
            : LARGEST_LONG_SHARE_BATCH;
    double wholeSlots = Math.ceil(service.longWorkLoadShare() / oneSlot) * oneSlot;
    double share = Math.max(oneSlot, Math.min(largest, wholeSlots));
    return note(
        service,
        "longWorkSlotShare",
        share,
        text(
            "long requests ask for %.3f of the slot time; whole slots of %d, at most %.1f of them",
            service.longWorkLoadShare(), service.slotsPerRunner(), largest));
  }

  private double retryBudgetShare(ServiceAnswers service) {
    boolean interactive = service.workClass() == WorkClass.INTERACTIVE;
    return note(
        service,
        "retryBudgetShare",
        interactive ? INTERACTIVE_RETRY_SHARE : BATCH_RETRY_SHARE,
        interactive
            ? "retries add a tenth to the load at most, so that failing runners do not slow the"
                + " others"
            : "nobody waits, so a fifth more load for retries does no harm");
  }

  private PoolSettings pool(ServiceAnswers service) {
    PoolName name = new PoolName(service.name().value());
    boolean spare = name.equals(answers.sparePool());
    return new PoolSettings(
        name,
        spare ? PoolRole.SPARE : PoolRole.SERVING,
        minimumHosts(service),
        spare ? spareMaximum(service) : service.runnersAtMost());
  }

  private int minimumHosts(ServiceAnswers service) {
    int runners = needed(service);
    int left = loss().runnersLeft(runners);
    return notePool(
        service,
        "minimumHosts",
        runners,
        text(
            "with one zone lost %d are left, which answer %.1f requests a second at %.0f%% busy;"
                + " the mean is %.1f; %d to %d runners were allowed",
            left,
            service.capacityPerSecond(left) * ZoneLoss.TARGET_UTILISATION,
            ZoneLoss.TARGET_UTILISATION * 100,
            service.requestsPerSecond(),
            service.runnersAtLeast(),
            service.runnersAtMost()));
  }

  private int spareMaximum(ServiceAnswers spare) {
    int returned =
        answers.services().values().stream()
            .filter(service -> !service.name().equals(spare.name()))
            .mapToInt(service -> service.runnersAtMost() - needed(service))
            .sum();
    int maximum = Math.min(Configurations.MAXIMUM_HOSTS_PER_POOL, spare.runnersAtMost() + returned);
    return notePool(
        spare,
        "maximumHosts",
        maximum,
        "its own "
            + spare.runnersAtMost()
            + " and the "
            + returned
            + " that the other pools can give back above their minimum");
  }

  private int needed(ServiceAnswers service) {
    return loss().runnersNeeded(service);
  }

  private ZoneLoss loss() {
    return new ZoneLoss(answers.availabilityZones().size());
  }

  private <N extends Number> N note(ServiceAnswers service, String key, N value, String reason) {
    numbers.add(
        new DerivedNumber("services." + service.name() + "." + key, value.toString(), reason));
    return value;
  }

  private int notePool(ServiceAnswers service, String key, int value, String reason) {
    numbers.add(
        new DerivedNumber("pools." + service.name() + "." + key, Integer.toString(value), reason));
    return value;
  }

  private static String text(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
