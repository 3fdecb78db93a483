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
 * Tracks the demand for every configured service on the leader and derives what each pool must
 * keep. A new leader starts without samples: until the means have settled, no host is taken from
 * any pool. Thread-safe.
 */
public final class DemandBoard {
  private final Supplier<VersionedConfiguration> acceptedConfiguration;
  private final DemandCombiner combiner = new DemandCombiner();
  private final Map<ServiceName, DemandLearner> learners = new HashMap<>();

  /**
   * Creates a tracker without samples.
   *
   * @param acceptedConfiguration returns the configuration that was accepted last
   */
  public DemandBoard(Supplier<VersionedConfiguration> acceptedConfiguration) {
    this.acceptedConfiguration = acceptedConfiguration;
  }

  /**
   * Adds the report of one entry for one second. It takes effect when the second is closed, in
   * {@link #needs}.
   */
  public synchronized void add(DemandReport report) {
    combiner.add(report);
  }

  /** Adds a sample; one for a service that is not configured is ignored. */
  public synchronized void add(DemandSample sample) {
    if (acceptedConfiguration.get().configuration().services().containsKey(sample.service())) {
      learners.computeIfAbsent(sample.service(), DemandLearner::new).add(sample);
    }
  }

  /**
   * Returns what each pool must keep. Pools with a service of unknown demand are omitted.
   *
   * @param now the current time
   */
  public synchronized ImmutableMap<PoolName, PoolNeed> needs(Instant now) {
    combiner.close(now).forEach(this::add);
    Configuration configuration = acceptedConfiguration.get().configuration();
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
