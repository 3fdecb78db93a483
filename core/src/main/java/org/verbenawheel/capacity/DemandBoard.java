package org.verbenawheel.capacity;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * Learns the demand of every configured service and tells what each pool must keep. A new leader
 * starts without samples: until the means have settled it takes nothing from any pool. Safe for use
 * by many threads.
 */
public final class DemandBoard {
  private final Supplier<VersionedConfiguration> accepted;
  private final DemandCombiner combiner = new DemandCombiner();
  private final Map<ServiceName, DemandLearner> learners = new HashMap<>();

  /**
   * Makes a board without samples.
   *
   * @param accepted gives the configuration that was accepted last
   */
  public DemandBoard(Supplier<VersionedConfiguration> accepted) {
    this.accepted = accepted;
  }

  /**
   * Takes what one entry saw in one second; it counts once the second is over for all entries.
   *
   * @param report the report
   */
  public synchronized void add(DemandReport report) {
    combiner.add(report);
  }

  /**
   * Takes a sample; one of a service that is not configured is ignored.
   *
   * @param sample the sample
   */
  public synchronized void add(DemandSample sample) {
    if (accepted.get().configuration().services().containsKey(sample.service())) {
      learners.computeIfAbsent(sample.service(), DemandLearner::new).add(sample);
    }
  }

  /**
   * Returns what each pool must keep; a pool with a service whose demand is unknown is left out.
   *
   * @param now the present moment
   */
  public synchronized ImmutableMap<PoolName, PoolNeed> needs(Instant now) {
    combiner.close(now).forEach(this::add);
    Configuration configuration = accepted.get().configuration();
    learners.keySet().retainAll(configuration.services().keySet());
    return PoolNeed.of(configuration, demands(configuration), now);
  }

  private ImmutableMap<ServiceName, ServiceDemand> demands(Configuration configuration) {
    return configuration.services().values().stream()
        .flatMap(service -> demand(service).stream())
        .collect(toImmutableMap(ServiceDemand::service, demand -> demand));
  }

  private Optional<ServiceDemand> demand(ServiceSettings service) {
    DemandLearner learner = learners.get(service.name());
    return learner == null ? Optional.empty() : learner.demand(service.availabilityBudget());
  }
}
