package org.verbenawheel.routing;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.MembershipView;

/**
 * Manages the slots of all endpoints of one service: which are held, which long work may use, and
 * which endpoints are ejected. Not thread-safe.
 */
public final class SlotPool {
  private final ServiceName service;
  private final SlotLedger ledger = new SlotLedger();
  private final EndpointSelector selector = new EndpointSelector(ledger);
  private final OutlierDetector outliers = new OutlierDetector();
  private final LongWorkLimit longWork = new LongWorkLimit();
  private ServiceSettings settings;
  private ImmutableMap<EndpointId, EndpointRecord> endpoints = ImmutableMap.of();
  private int totalSlots;

  /**
   * Creates a pool without endpoints.
   *
   * @param settings the settings of the service
   */
  public SlotPool(ServiceSettings settings) {
    this.service = settings.name();
    this.settings = settings;
  }

  /**
   * Changes the settings.
   *
   * @param newSettings settings of the same service
   */
  public void changeSettings(ServiceSettings newSettings) {
    settings = newSettings;
  }

  /**
   * Applies a new membership view. Endpoints that left get no new work, and leases at an earlier
   * process of a restarted endpoint end.
   *
   * @param view the new view
   */
  public void changeView(MembershipView view) {
    endpoints =
        view.endpoints().values().stream()
            .filter(endpoint -> endpoint.service().equals(service))
            .collect(toImmutableMap(EndpointRecord::id, endpoint -> endpoint));
    totalSlots = endpoints.values().stream().mapToInt(EndpointRecord::slots).sum();
    outliers.retain(endpoints.keySet());
    ledger.endWhere(this::isOfEarlierProcess);
  }

  /**
   * Expires leases, and counts work that has run past the limit for short work as long.
   *
   * @param now the current time
   * @return the leases that passed the limit for short work since the last call
   */
  public ImmutableList<SlotLease> advanceTo(Instant now) {
    longWork.observe(now, ledger.totalHeld() - ledger.totalHeldByLongWork());
    ledger.expire(now);
    return ledger.countOverrunsAsLong(now, Duration.ofMillis(settings.shortWorkMilliseconds()));
  }

  /**
   * Selects an endpoint for an attempt without holding a slot.
   *
   * @param isLong whether the work is expected to be long
   * @param avoid endpoints that already failed the request
   * @param now the current time
   * @return the endpoint; empty if no slot is free for such work
   */
  public Optional<EndpointRecord> choose(
      boolean isLong, ImmutableSet<EndpointId> avoid, Instant now) {
    if (isLong && ledger.totalHeldByLongWork() >= longWorkLimit()) {
      return Optional.empty();
    }
    return selector.choose(
        endpoints.values(),
        avoid,
        endpoint ->
            outliers.accepts(endpoint.id(), ledger.held(endpoint.id()), now)
                && (!isLong || acceptsLongWork(endpoint)));
  }

  /**
   * Holds a slot.
   *
   * @param lease the lease of the slot
   * @param isLong whether the work is expected to be long
   */
  public void hold(SlotLease lease, boolean isLong) {
    ledger.hold(lease, isLong);
  }

  /**
   * Records the result of an attempt for its endpoint's health, and frees the slot if the endpoint
   * is known to be free.
   *
   * @param lease the lease of the attempt
   * @param report how it ended
   * @param now the current time
   * @return whether this result ejected the endpoint
   */
  public boolean release(SlotLease lease, AttemptReport report, Instant now) {
    if (report.endpointKnownFree()) {
      ledger.end(lease.key());
    }
    if (report.result() == AttemptResult.UNUSED || !endpoints.containsKey(lease.endpoint())) {
      return false;
    }
    return outliers.onAttemptEnded(
        lease.endpoint(),
        report.result().isFailure(),
        settings.availabilityBudget(),
        endpoints.keySet(),
        now);
  }

  /** Returns the ledger of held slots. */
  public SlotLedger ledger() {
    return ledger;
  }

  /** Returns the endpoints in the current view, ejected ones included. */
  public ImmutableCollection<EndpointRecord> endpoints() {
    return endpoints.values();
  }

  /** Returns the endpoints that are ejected. */
  public ImmutableSet<EndpointId> ejected() {
    return endpoints.keySet().stream()
        .filter(outliers::isEjected)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns how many slots all endpoints have together, held or free. */
  public int totalSlots() {
    return totalSlots;
  }

  /** Returns how many slots long work may hold at all endpoints together. */
  public int longWorkLimit() {
    return longWork.limit(settings.workClass(), settings.longWorkSlotShare(), totalSlots);
  }

  /**
   * Returns whether a request has failed at every endpoint of the service.
   *
   * @param avoid the endpoints that failed the request
   */
  public boolean isExhausted(ImmutableSet<EndpointId> avoid) {
    return avoid.containsAll(endpoints.keySet());
  }

  private boolean acceptsLongWork(EndpointRecord endpoint) {
    return ledger.heldByLongWork(endpoint.id()) < maximumLongWorkSlots(endpoint.slots());
  }

  private int maximumLongWorkSlots(int slots) {
    return Math.max(1, (int) Math.floor(settings.longWorkSlotShare() * slots));
  }

  private boolean isOfEarlierProcess(SlotLease lease) {
    EndpointRecord endpoint = endpoints.get(lease.endpoint());
    return endpoint != null && endpoint.incarnation() > lease.endpointIncarnation();
  }
}
