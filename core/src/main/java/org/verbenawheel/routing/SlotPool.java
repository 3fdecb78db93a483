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
 * Holds the slots of all endpoints of one service: which are free, which long work may take, and
 * which endpoints are ejected. Not safe for use by many threads.
 */
public final class SlotPool {
  private final ServiceName service;
  private final SlotLedger ledger = new SlotLedger();
  private final EndpointChoice choice = new EndpointChoice(ledger);
  private final OutlierDetector outliers = new OutlierDetector();
  private final LongWorkLimit longWork = new LongWorkLimit();
  private ServiceSettings settings;
  private ImmutableMap<EndpointId, EndpointRecord> endpoints = ImmutableMap.of();
  private int totalSlots;

  /**
   * Makes a pool without endpoints.
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
   * Takes a view: endpoints that are gone get nothing new, and what an earlier process of an
   * endpoint ran has ended.
   *
   * @param view the view
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
   * Brings the pool to the present moment: leases expire, and short work becomes long.
   *
   * @param now the present moment
   * @return the leases that have run past the limit for short work since the last call
   */
  public ImmutableList<SlotLease> advanceTo(Instant now) {
    longWork.observe(now, ledger.totalHeld() - ledger.totalHeldByLongWork());
    ledger.expire(now);
    return ledger.countOverrunsAsLong(now, Duration.ofMillis(settings.shortWorkMilliseconds()));
  }

  /**
   * Chooses an endpoint for an attempt and holds nothing yet.
   *
   * @param isLong whether the work is expected to be long
   * @param avoid endpoints that already failed the request
   * @param now the present moment
   * @return the endpoint; empty if no slot is free for such work
   */
  public Optional<EndpointRecord> choose(
      boolean isLong, ImmutableSet<EndpointId> avoid, Instant now) {
    if (isLong && ledger.totalHeldByLongWork() >= longWorkLimit()) {
      return Optional.empty();
    }
    return choice.choose(
        endpoints.values(),
        avoid,
        endpoint ->
            outliers.accepts(endpoint.id(), ledger.held(endpoint.id()), now)
                && (!isLong || takesLongWork(endpoint)));
  }

  /**
   * Holds a slot.
   *
   * @param lease the slot and who holds it
   * @param isLong whether the work is expected to be long
   */
  public void hold(SlotLease lease, boolean isLong) {
    ledger.hold(lease, isLong);
  }

  /**
   * Takes the end of an attempt: learns of the endpoint, and frees the slot if it is known free.
   *
   * @param lease the lease of the attempt
   * @param report how it ended
   * @param now the present moment
   * @return whether this ejected the endpoint
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

  /** Returns the slots held. */
  public SlotLedger ledger() {
    return ledger;
  }

  /** Returns the endpoints that may take new work. */
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
   * Returns whether a request was tried at every endpoint there is.
   *
   * @param avoid the endpoints that failed it
   */
  public boolean isExhausted(ImmutableSet<EndpointId> avoid) {
    return avoid.containsAll(endpoints.keySet());
  }

  private boolean takesLongWork(EndpointRecord endpoint) {
    return ledger.heldByLongWork(endpoint.id()) < share(endpoint.slots());
  }

  private int share(int slots) {
    return Math.max(1, (int) Math.floor(settings.longWorkSlotShare() * slots));
  }

  private boolean isOfEarlierProcess(SlotLease lease) {
    EndpointRecord endpoint = endpoints.get(lease.endpoint());
    return endpoint != null && endpoint.incarnation() > lease.endpointIncarnation();
  }
}
