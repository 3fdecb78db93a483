package org.verbenawheel.http;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * An HTTP request to send.
 *
 * @param method the HTTP method, such as {@code POST}
 * @param path the path and query
 * @param headers headers besides {@code Host}, {@code Content-Type} and {@code Content-Length}
 * @param body the JSON body; empty for none
 * @param timeout how long to wait for the complete answer, including the wait for a connection
 * @param precondition asked on the event loop's thread when a connection is free; if false, the
 *     request fails as not run instead of being sent
 * @param intendedServer the process that the request is meant for; empty for whichever listens at
 *     the address
 */
public record HttpCall(
    String method,
    String path,
    ImmutableMap<String, String> headers,
    String body,
    Duration timeout,
    BooleanSupplier precondition,
    Optional<IntendedServer> intendedServer) {

  /** Creates a request that may be sent to any server whenever a connection is free. */
  public HttpCall(
      String method,
      String path,
      ImmutableMap<String, String> headers,
      String body,
      Duration timeout) {
    this(method, path, headers, body, timeout, () -> true, Optional.empty());
  }

  /** Returns this request with another precondition. */
  public HttpCall withPrecondition(BooleanSupplier value) {
    return new HttpCall(method, path, headers, body, timeout, value, intendedServer);
  }

  /** Returns this request for one process only. */
  public HttpCall withIntendedServer(IntendedServer value) {
    return new HttpCall(method, path, headers, body, timeout, precondition, Optional.of(value));
  }

  /** Returns the request that asks which process is at the other end of a connection. */
  HttpCall toQuestion(IntendedServer server) {
    return new HttpCall(method, server.questionPath(), headers, server.questionBody(), timeout);
  }
}
