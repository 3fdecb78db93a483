package org.verbenawheel.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.dispatch.DispatchMessages.Registration;
import org.verbenawheel.dispatch.DispatchMessages.Release;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;

final class DispatchMessagesTest {
  private static final AttemptKey KEY = new AttemptKey(new RequestId("request-1"), 2);

  @Test
  void decodeToEqualMessages() throws MalformedMessageException {
    HeldSlot slot =
        new HeldSlot(
            KEY, new ProcessId("entry-1"), 7, new EndpointId("runner-1"), 3, "GET /quote", 5, 9);
    Ticket ticket =
        new Ticket(
            TestDeployment.SERVICE,
            KEY,
            7,
            "GET /quote",
            500,
            ImmutableSet.of(new EndpointId("runner-1")));
    ImmutableList<DispatchMessage> messages =
        ImmutableList.of(
            ticket,
            new Release(TestDeployment.SERVICE, KEY, AttemptReport.UNUSED),
            new Refused(TestDeployment.SERVICE, KEY, RefusalReason.OVERLOADED, "wait", 1_000),
            new Registration(
                TestDeployment.SERVICE,
                7,
                ImmutableList.of(slot),
                ImmutableList.of(ticket),
                ImmutableList.of()),
            new LedgerCopy(
                TestDeployment.SERVICE, 4, true, ImmutableList.of(slot), ImmutableList.of(KEY)));
    MessageCodec codec = new MessageCodec(DispatchMessages.KINDS);
    for (DispatchMessage message : messages) {
      assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
    }
  }
}
