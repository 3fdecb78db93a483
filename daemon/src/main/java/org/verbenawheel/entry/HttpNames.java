package org.verbenawheel.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.micronaut.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

/** Names the headers of the entry's HTTP interface and says which headers are passed on. */
final class HttpNames {
  /** Carries the id under which every process logs a request. */
  static final String REQUEST_ID = "Verbenawheel-Request-Id";

  /** Carries the time left for a request, in milliseconds. */
  static final String DEADLINE_MILLISECONDS = "Verbenawheel-Deadline-Milliseconds";

  /** Says {@code true} if a POST or PATCH may run twice without harm. */
  static final String IDEMPOTENT = "Verbenawheel-Idempotent";

  /** Carries the endpoint that ran a request. */
  static final String ENDPOINT = "Verbenawheel-Endpoint";

  /** Headers that belong to one connection, or that the system itself sets. */
  private static final ImmutableSet<String> NOT_PASSED_ON =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "expect",
          lowerCase(REQUEST_ID),
          lowerCase(DEADLINE_MILLISECONDS),
          lowerCase(IDEMPOTENT),
          lowerCase(ENDPOINT),
          lowerCase(RunVerdict.HEADER),
          lowerCase(IdempotencyKey.HEADER));

  private HttpNames() {}

  /**
   * Returns the headers that are passed on.
   *
   * @param headers the headers of a caller's request or an endpoint's answer
   */
  static Headers passedOn(HttpHeaders headers) {
    ImmutableMap.Builder<String, List<String>> kept = ImmutableMap.builder();
    for (Map.Entry<String, List<String>> header : headers) {
      String name = lowerCase(header.getKey());
      if (!NOT_PASSED_ON.contains(name)) {
        kept.put(name, ImmutableList.copyOf(header.getValue()));
      }
    }
    return Headers.copyOf(kept.buildKeepingLast());
  }

  private static String lowerCase(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
