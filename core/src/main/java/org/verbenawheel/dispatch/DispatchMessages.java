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
 * The messages between entries and dispatchers.
 *
 * <p>Times are lengths and not moments, since the clocks of hosts differ. Each message may be lost,
 * doubled or late: a ticket is sent again until it is answered, and the dispatcher asks after slots
 * that are held for long.
 */
public final class DispatchMessages {
  /** The kinds of message of this topic, with their numbers. */
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
    /** Returns the service. */
    ServiceName service();
  }

  /**
   * Asks the dispatcher for a slot.
   *
   * @param service the service asked
   * @param key the attempt
   * @param entryIncarnation which start of the entry's process asks
   * @param route the kind of work
   * @param timeLeftMilliseconds the time to the request's deadline
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
   * Tells the entry that a ticket which came again is waiting.
   *
   * @param service the service asked
   * @param key the attempt
   */
  public record Queued(ServiceName service, AttemptKey key) implements DispatchMessage {}

  /**
   * Grants the entry a slot.
   *
   * @param service the service asked
   * @param key the attempt
   * @param endpoint whose slot it is
   * @param holdMilliseconds how long the slot is held if nobody frees it
   * @param holdAfterLossMilliseconds how long it is held after the connection to the endpoint is
   *     lost
   */
  public record Grant(
      ServiceName service,
      AttemptKey key,
      EndpointRecord endpoint,
      long holdMilliseconds,
      long holdAfterLossMilliseconds)
      implements DispatchMessage {}

  /**
   * Refuses the entry a slot. The attempt was not run.
   *
   * @param service the service asked
   * @param key the attempt
   * @param reason why
   * @param message one sentence for a person
   * @param retryAfterMilliseconds how long the caller should wait
   */
  public record Refused(
      ServiceName service,
      AttemptKey key,
      RefusalReason reason,
      String message,
      long retryAfterMilliseconds)
      implements DispatchMessage {}

  /**
   * Tells the dispatcher that an attempt ended, or that it no longer waits for a slot.
   *
   * @param service the service asked
   * @param key the attempt
   * @param report how it ended
   */
  public record Release(ServiceName service, AttemptKey key, AttemptReport report)
      implements DispatchMessage {}

  /**
   * Asks an entry to register with the sender, which became the service's dispatcher.
   *
   * @param service the service
   */
  public record RegistrationRequest(ServiceName service) implements DispatchMessage {}

  /**
   * Tells a dispatcher all that an entry holds and waits for.
   *
   * @param service the service
   * @param entryIncarnation which start of the entry's process registers
   * @param held the slots that the entry holds
   * @param waiting the tickets that the entry waits on
   * @param copies slots that the entry knows other entries to hold
   */
  public record Registration(
      ServiceName service,
      long entryIncarnation,
      ImmutableList<HeldSlot> held,
      ImmutableList<Ticket> waiting,
      ImmutableList<HeldSlot> copies)
      implements DispatchMessage {}

  /**
   * Asks an entry which of the slots it no longer holds.
   *
   * @param service the service
   * @param entryIncarnation which start of the entry's process was granted them
   * @param keys the attempts that hold them
   */
  public record HoldQuery(
      ServiceName service, long entryIncarnation, ImmutableList<AttemptKey> keys)
      implements DispatchMessage {}

  /**
   * Tells the entry that would become dispatcher next what the present one granted and got back.
   *
   * @param service the service
   * @param sequence grows by one with each copy that holds news
   * @param whole whether the copy holds all slots that are held, and not only the news
   * @param held slots held since the last copy
   * @param ended attempts whose slots are free since the last copy
   */
  public record LedgerCopy(
      ServiceName service,
      long sequence,
      boolean whole,
      ImmutableList<HeldSlot> held,
      ImmutableList<AttemptKey> ended)
      implements DispatchMessage {

    /**
     * Returns a copy of all that a dispatcher holds when it hands its service over.
     *
     * @param service the service
     * @param held all slots that are held
     */
    static LedgerCopy ofHandOver(ServiceName service, ImmutableList<HeldSlot> held) {
      return new LedgerCopy(service, 0, true, held, ImmutableList.of());
    }
  }

  /**
   * Asks the dispatcher for a whole copy, because one was lost.
   *
   * @param service the service
   */
  public record LedgerCopyRequest(ServiceName service) implements DispatchMessage {}

  /**
   * A slot that is held, as one process tells another.
   *
   * @param key the attempt
   * @param holder the entry that holds it
   * @param holderIncarnation which start of that entry's process
   * @param endpoint whose slot it is
   * @param endpointIncarnation which start of the endpoint's process
   * @param route the kind of work
   * @param heldMilliseconds how long it is held already
   * @param holdLeftMilliseconds how long it is held at most from now
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
