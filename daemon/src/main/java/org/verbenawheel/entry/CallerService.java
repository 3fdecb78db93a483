package org.verbenawheel.entry;

import java.util.concurrent.CompletableFuture;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;

/** The operations of an entry that the HTTP interface for callers uses. */
interface CallerService {
  /** Returns the configuration in force; {@link Configuration#EMPTY} if none is confirmed. */
  Configuration configuration();

  /**
   * Sends a request to an endpoint of its service, or refuses it.
   *
   * @param request the request of a caller
   * @return completes with the endpoint's answer or a refusal; never fails
   */
  CompletableFuture<CallerOutcome> serve(CallerRequest request);

  /**
   * Cancels a request because the caller closed its connection.
   *
   * @param id the id of the request
   */
  void cancel(RequestId id);
}
