package org.verbenawheel.routing;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.CallerRequest;

/** Sends one attempt of a request to one endpoint, and never retries on its own. */
public interface EndpointClient {
  /**
   * Sends a request to an endpoint once.
   *
   * @param endpoint the receiver
   * @param request the request to send
   * @param timeout how long to wait for the complete answer
   * @return completes with how the attempt ended; never fails
   */
  CompletableFuture<AttemptOutcome> send(
      EndpointRecord endpoint, CallerRequest request, Duration timeout);
}
