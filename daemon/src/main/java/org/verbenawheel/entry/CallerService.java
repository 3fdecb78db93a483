package org.verbenawheel.entry;

import java.util.concurrent.CompletableFuture;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;

/** What the caller interface needs of the entry. */
interface CallerService {
  /** Returns the configuration in force; {@link Configuration#EMPTY} if none is confirmed. */
  Configuration configuration();

  /**
   * Serves a request.
   *
   * @param request the request
   * @return how it ended; never fails
   */
  CompletableFuture<CallerOutcome> serve(CallerRequest request);

  /**
   * Says that the caller no longer waits.
   *
   * @param id the request
   */
  void cancel(RequestId id);
}
