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

/** Collects what a dispatcher decided during one event. Not safe for use by many threads. */
final class DispatcherOutbox {
  private static final String TOPIC = "routing";

  private final SuccessorCopy copy;
  private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

  DispatcherOutbox(ServiceName service) {
    this.copy = new SuccessorCopy(service);
  }

  /** Returns what the dispatcher's successor is told. */
  SuccessorCopy copy() {
    return copy;
  }

  void send(ProcessId to, DispatchMessage message) {
    effects.add(new DispatchEffect.Send(to, message));
  }

  void refuse(Instant now, ProcessId entry, Refused refusal, ImmutableMap<String, String> inputs) {
    explain(now, refusal.key(), "refused " + refusal.reason(), refusal.message(), inputs);
    send(entry, refusal);
  }

  void explain(
      Instant now,
      AttemptKey key,
      String outcome,
      String reason,
      ImmutableMap<String, String> inputs) {
    String subject = key.request() + " attempt " + key.attempt();
    effects.add(
        new DispatchEffect.Explain(new Decision(now, TOPIC, subject, outcome, reason, inputs)));
  }

  /** Tells the successor the last number once more. */
  void repeatCopy() {
    copy.repeat().ifPresent(effects::add);
  }

  /**
   * Returns what to do, and forgets it. The copy goes out before the grants, so that it is on its
   * way when an attempt starts.
   */
  ImmutableList<DispatchEffect> drain(Iterable<HeldSlot> allHeld) {
    ImmutableList.Builder<DispatchEffect> inOrder = ImmutableList.builder();
    copy.next(allHeld).ifPresent(inOrder::add);
    inOrder.addAll(effects.build());
    effects = ImmutableList.builder();
    return inOrder.build();
  }
}
