package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;

/**
 * The messages that entries and dispatchers exchange.
 *
 * <p>Times are durations in milliseconds, never timestamps, because the clocks of hosts differ. A
 * message may be lost, duplicated or delayed: an entry resends a ticket until it is answered, and a
 * dispatcher queries the holders of slots that have been held for long.
 */
public final class DispatchMessages {
  /** Assigns each message type its number on the wire. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(300, Ticket.class)
          .add(301, Queued.class)
          .add(302, Grant.class)
          .add(303, Refused.class)
          .add(304, Release.class)
          .add(305, RegistrationRequest.class)
          .add(306, Registration.class)
          .add(307, HoldQuery.class)
          .add(308, LedgerCopy.class)
          .add(309, LedgerCopyRequest.class)
          .build();

  private DispatchMessages() {}

  /** A message about one service. */
  public sealed interface DispatchMessage extends PeerMessage {
    /** Returns the service whose dispatcher sends or receives the message. */
    ServiceName service();
  }

  /**
   * An entry's request to the dispatcher for one slot.
   *
   * @param service the service that the request calls
   * @param key the attempt that needs the slot
   * @param entryIncarnation identifies the start of the entry's process
   * @param route the kind of work, by which run times are learned
   * @param timeLeftMilliseconds the time left until the request's deadline
   * @param avoid endpoints that already failed the request
   */
  public record Ticket(
      ServiceName service,
      AttemptKey key,
      long entryIncarnation,
      String route,
      long timeLeftMilliseconds,
      ImmutableSet<EndpointId> avoid)
      implements DispatchMessage {}

  /**
   * The dispatcher's answer to a resent ticket that is still in its queue.
   *
   * @param service the service that the request calls
   * @param key the attempt that waits
   */
  public record Queued(ServiceName service, AttemptKey key) implements DispatchMessage {}

  /**
   * Grants the entry a slot.
   *
   * @param service the service that the request calls
   * @param key the attempt that may be sent
   * @param endpoint the endpoint to send it to
   * @param holdMilliseconds after how long the slot expires if it is not released
   * @param holdAfterLossMilliseconds after how long it expires once the connection to the endpoint
   *     is lost
   */
  public record Grant(
      ServiceName service,
      AttemptKey key,
      EndpointRecord endpoint,
      long holdMilliseconds,
      long holdAfterLossMilliseconds)
      implements DispatchMessage {}

  /**
   * Refuses the entry a slot. The attempt was not sent to any endpoint.
   *
   * @param service the service that the request calls
   * @param key the attempt that is refused
   * @param reason the reason as a code
   * @param message the reason as one readable sentence
   * @param retryAfterMilliseconds how long the caller should wait before it retries
   */
  public record Refused(
      ServiceName service,
      AttemptKey key,
      RefusalReason reason,
      String message,
      long retryAfterMilliseconds)
      implements DispatchMessage {}

  /**
   * Notifies the dispatcher that an attempt ended, or that it no longer waits for a slot.
   *
   * @param service the service that the request calls
   * @param key the attempt
   * @param report how the attempt ended and whether its slot is free
   */
  public record Release(ServiceName service, AttemptKey key, AttemptReport report)
      implements DispatchMessage {}

  /**
   * A new dispatcher's request that an entry sends it a {@link Registration}.
   *
   * @param service the service that the sender dispatches
   */
  public record RegistrationRequest(ServiceName service) implements DispatchMessage {}

  /**
   * Reports to a dispatcher all slots that an entry holds and all tickets that it has pending.
   *
   * @param service the service that the receiver dispatches
   * @param entryIncarnation identifies the start of the entry's process
   * @param held the slots that the entry holds
   * @param waiting the entry's tickets that are not yet granted or refused
   * @param copies slots of any entry that were replicated to this one by {@link LedgerCopy}
   */
  public record Registration(
      ServiceName service,
      long entryIncarnation,
      ImmutableList<HeldSlot> held,
      ImmutableList<Ticket> waiting,
      ImmutableList<HeldSlot> copies)
      implements DispatchMessage {}

  /**
   * A dispatcher's question to an entry which of these slots it no longer holds. The entry answers
   * with a {@link Release} for each such slot.
   *
   * @param service the service that the sender dispatches
   * @param entryIncarnation the start of the entry's process that was granted the slots
   * @param keys the attempts that hold the slots
   */
  public record HoldQuery(
      ServiceName service, long entryIncarnation, ImmutableList<AttemptKey> keys)
      implements DispatchMessage {}

  /**
   * Replicates a dispatcher's ledger of held slots to its successor, the entry that is elected if
   * the dispatcher dies.
   *
   * @param service the service that the sender dispatches
   * @param sequence increases by one with each copy that contains changes, so that the receiver
   *     detects a lost one
   * @param whole true if {@code held} lists all held slots, false if only those since the last copy
   * @param held slots that are held
   * @param ended attempts whose slots were freed since the last copy
   */
  public record LedgerCopy(
      ServiceName service,
      long sequence,
      boolean whole,
      ImmutableList<HeldSlot> held,
      ImmutableList<AttemptKey> ended)
      implements DispatchMessage {

    /**
     * Returns the whole copy that a dispatcher sends when it hands its service over.
     *
     * @param service the service that is handed over
     * @param held all slots that are held
     */
    static LedgerCopy ofHandOver(ServiceName service, ImmutableList<HeldSlot> held) {
      return new LedgerCopy(service, 0, true, held, ImmutableList.of());
    }
  }

  /**
   * The successor's request for a whole {@link LedgerCopy}, because it missed one.
   *
   * @param service the service that the receiver dispatches
   */
  public record LedgerCopyRequest(ServiceName service) implements DispatchMessage {}

  /**
   * The wire form of a slot lease, with durations instead of timestamps.
   *
   * @param key the attempt that holds the slot
   * @param holder the entry that sends the attempt
   * @param holderIncarnation identifies the start of that entry's process
   * @param endpoint the endpoint that the slot belongs to
   * @param endpointIncarnation identifies the start of the endpoint's process
   * @param route the kind of work
   * @param heldMilliseconds how long the slot has been held
   * @param holdLeftMilliseconds after how long the lease expires
   */
  public record HeldSlot(
      AttemptKey key,
      ProcessId holder,
      long holderIncarnation,
      EndpointId endpoint,
      long endpointIncarnation,
      String route,
      long heldMilliseconds,
      long holdLeftMilliseconds) {}
}
