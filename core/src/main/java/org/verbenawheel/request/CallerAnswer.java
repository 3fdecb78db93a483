package org.verbenawheel.request;

import org.verbenawheel.identity.EndpointId;

/**
 * An endpoint's complete answer to one request. Its verdict is always {@link RunVerdict#RAN}.
 *
 * @param status the endpoint's HTTP status
 * @param headers the endpoint's response headers that are forwarded to the caller
 * @param body the complete body
 * @param endpoint the endpoint that ran the request
 */
public record CallerAnswer(int status, Headers headers, Body body, EndpointId endpoint)
    implements CallerOutcome {

  @Override
  public RunVerdict verdict() {
    return RunVerdict.RAN;
  }
}
