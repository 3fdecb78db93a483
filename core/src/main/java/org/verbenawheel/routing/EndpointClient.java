package org.verbenawheel.routing;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.CallerRequest;

/** Sends one attempt of a request to one endpoint. Never sends anything twice by itself. */
public interface EndpointClient {
  /**
   * Sends an attempt.
   *
   * @param endpoint where to
   * @param request what to send
   * @param timeout how long to wait for the whole answer
   * @return how the attempt ended; never fails
   */
  CompletableFuture<AttemptOutcome> send(
      EndpointRecord endpoint, CallerRequest request, Duration timeout);
}
