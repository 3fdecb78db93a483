package org.verbenawheel.entry;

import com.google.common.collect.ImmutableSet;
import io.micronaut.http.HttpRequest;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.MalformedKeyException;

/** Parses callers' HTTP requests into {@link CallerRequest}s and generates their ids. */
final class CallerRequestParser {
  private static final ImmutableSet<String> METHODS_REQUIRING_KEY =
      ImmutableSet.of("POST", "PATCH");
  private static final String SERVICE_PATH_PREFIX = "/service/";
  private static final Duration MAXIMUM_DEADLINE = Duration.ofHours(12);
  private static final Duration UNKNOWN_SERVICE_DEADLINE = Duration.ofSeconds(5);

  private final String idPrefix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a parser for one run of an entry.
   *
   * @param entry this entry; part of every id
   * @param startedAt when this process started; part of every id, so that ids differ from those of
   *     earlier runs
   */
  CallerRequestParser(ProcessId entry, Instant startedAt) {
    this.idPrefix = entry.value() + "-" + Long.toString(startedAt.toEpochMilli(), 36) + "-";
  }

  /** Returns an id that no other request of this or an earlier process has. */
  RequestId nextId() {
    return new RequestId(idPrefix + counter.incrementAndGet());
  }

  /**
   * Parses one request.
   *
   * @param id an id from {@link #nextId}
   * @param http the request as received
   * @param service the service name in the path
   * @param body the body, or null if there is none
   * @param configuration supplies the deadline of a request without a deadline header
   * @param now the current time, from which the deadline counts
   * @throws BadRequestException if the path, the idempotency key or the deadline is invalid or a
   *     required key is missing; its message is sent to the caller
   */
  CallerRequest parse(
      RequestId id,
      HttpRequest<?> http,
      String service,
      byte @Nullable [] body,
      Configuration configuration,
      Instant now)
      throws BadRequestException {
    ServiceName serviceName = serviceName(service);
    Optional<IdempotencyKey> key = idempotencyKey(http);
    Duration deadline = deadline(http, serviceName, configuration);
    return new CallerRequest(
        id,
        serviceName,
        http.getMethodName(),
        pathAndQuery(http, service),
        EntryHeaders.forwardedHeaders(http.getHeaders()),
        body == null ? Body.EMPTY : Body.copyOf(body),
        key,
        now.plus(deadline));
  }

  private static ServiceName serviceName(String service) throws BadRequestException {
    try {
      return new ServiceName(service);
    } catch (IllegalArgumentException malformed) {
      throw new BadRequestException(
          "the path must be /service/<name>/...: " + malformed.getMessage());
    }
  }

  /** Returns the part of the path after the service, still percent-encoded, and the query. */
  private static String pathAndQuery(HttpRequest<?> http, String service) {
    URI uri = http.getUri();
    String subpath = uri.getRawPath().substring(SERVICE_PATH_PREFIX.length() + service.length());
    String path = subpath.isEmpty() ? "/" : subpath;
    return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
  }

  private static Optional<IdempotencyKey> idempotencyKey(HttpRequest<?> http)
      throws BadRequestException {
    String text = http.getHeaders().get(IdempotencyKey.HEADER);
    if (text != null) {
      return Optional.of(parseKey(text));
    }
    boolean declaredIdempotent = "true".equals(http.getHeaders().get(EntryHeaders.IDEMPOTENT));
    if (METHODS_REQUIRING_KEY.contains(http.getMethodName()) && !declaredIdempotent) {
      throw new BadRequestException(
          http.getMethodName()
              + " needs the header "
              + IdempotencyKey.HEADER
              + " with a UUID of version 7; it then runs at most once. Otherwise send "
              + EntryHeaders.IDEMPOTENT
              + ": true if running it twice does no harm");
    }
    return Optional.empty();
  }

  private static IdempotencyKey parseKey(String text) throws BadRequestException {
    try {
      return IdempotencyKey.parse(text);
    } catch (MalformedKeyException malformed) {
      throw new BadRequestException(malformed.explanation());
    }
  }

  private static Duration deadline(
      HttpRequest<?> http, ServiceName service, Configuration configuration)
      throws BadRequestException {
    String text = http.getHeaders().get(EntryHeaders.DEADLINE_MILLISECONDS);
    if (text != null) {
      return parseDeadline(text);
    }
    ServiceSettings settings = configuration.services().get(service);
    return settings == null
        ? UNKNOWN_SERVICE_DEADLINE
        : Duration.ofMillis(settings.deadlineMilliseconds());
  }

  private static Duration parseDeadline(String text) throws BadRequestException {
    try {
      Duration deadline = Duration.ofMillis(Long.parseLong(text));
      if (!deadline.isNegative()
          && !deadline.isZero()
          && deadline.compareTo(MAXIMUM_DEADLINE) <= 0) {
        return deadline;
      }
    } catch (NumberFormatException notANumber) {
      // Rejected below with the same message as a number out of range.
    }
    throw new BadRequestException(
        EntryHeaders.DEADLINE_MILLISECONDS
            + " must be a whole number from 1 to "
            + MAXIMUM_DEADLINE.toMillis()
            + " milliseconds");
  }
}
