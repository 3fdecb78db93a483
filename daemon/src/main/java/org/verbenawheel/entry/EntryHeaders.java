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

/** Names the headers of the entry's HTTP interface and selects the headers that it forwards. */
final class EntryHeaders {
  /** The id under which every process logs a request. */
  static final String REQUEST_ID = "Verbenawheel-Request-Id";

  /** The time left for a request, in milliseconds. */
  static final String DEADLINE_MILLISECONDS = "Verbenawheel-Deadline-Milliseconds";

  /** {@code true} if a POST or PATCH may run twice without harm. */
  static final String IDEMPOTENT = "Verbenawheel-Idempotent";

  /** The id of the endpoint that ran a request. */
  static final String ENDPOINT = "Verbenawheel-Endpoint";

  /** Lower-case names of headers that belong to one connection or that the system itself sets. */
  private static final ImmutableSet<String> NOT_FORWARDED =
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

  private EntryHeaders() {}

  /**
   * Returns the headers to forward, with names in lower case: all but those of one connection and
   * those that the system itself sets.
   *
   * @param headers the headers of a caller's request or of an endpoint's answer
   */
  static Headers forwardedHeaders(HttpHeaders headers) {
    ImmutableMap.Builder<String, List<String>> forwarded = ImmutableMap.builder();
    for (Map.Entry<String, List<String>> header : headers) {
      String name = lowerCase(header.getKey());
      if (!NOT_FORWARDED.contains(name)) {
        forwarded.put(name, ImmutableList.copyOf(header.getValue()));
      }
    }
    return Headers.copyOf(forwarded.buildKeepingLast());
  }

  private static String lowerCase(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
