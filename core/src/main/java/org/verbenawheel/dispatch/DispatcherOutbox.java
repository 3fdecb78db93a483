package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import org.verbenawheel.decision.Decision;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.routing.AttemptKey;

/** Collects the effects of a dispatcher during one event. Not thread-safe. */
final class DispatcherOutbox {
  private static final String TOPIC = "routing";

  private final SuccessorUpdates successorUpdates;
  private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

  DispatcherOutbox(ServiceName service) {
    this.successorUpdates = new SuccessorUpdates(service);
  }

  /** Returns the pending changes of the ledger for the dispatcher's successor. */
  SuccessorUpdates successorUpdates() {
    return successorUpdates;
  }

  void send(ProcessId to, DispatchMessage message) {
    effects.add(new DispatchEffect.Send(to, message));
  }

  void refuse(Instant now, ProcessId entry, Refused refusal, ImmutableMap<String, String> inputs) {
    recordDecision(now, refusal.key(), "refused " + refusal.reason(), refusal.message(), inputs);
    send(entry, refusal);
  }

  void recordDecision(
      Instant now,
      AttemptKey key,
      String outcome,
      String reason,
      ImmutableMap<String, String> inputs) {
    String subject = key.request() + " attempt " + key.attempt();
    effects.add(
        new DispatchEffect.RecordDecision(
            new Decision(now, TOPIC, subject, outcome, reason, inputs)));
  }

  /** Sends the successor the last sequence number again if a copy went out recently. */
  void repeatLastUpdate() {
    successorUpdates.takeRepeat().ifPresent(effects::add);
  }

  /**
   * Returns the collected effects and clears them. The ledger copy comes before the grants, so that
   * it has been sent when an attempt starts.
   */
  ImmutableList<DispatchEffect> drain(Iterable<HeldSlot> allHeld) {
    ImmutableList.Builder<DispatchEffect> inOrder = ImmutableList.builder();
    successorUpdates.takeUpdate(allHeld).ifPresent(inOrder::add);
    inOrder.addAll(effects.build());
    effects = ImmutableList.builder();
    return inOrder.build();
  }
}
