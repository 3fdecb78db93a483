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

/** Turns callers' HTTP requests into {@link CallerRequest}s and gives each its own id. */
final class CallerRequests {
  private static final ImmutableSet<String> METHODS_NEEDING_A_KEY =
      ImmutableSet.of("POST", "PATCH");
  private static final String PREFIX = "/service/";
  private static final Duration LONGEST_DEADLINE = Duration.ofHours(12);
  private static final Duration DEADLINE_OF_UNKNOWN_SERVICE = Duration.ofSeconds(5);

  private final String idPrefix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Makes a translator.
   *
   * @param entry this entry
   * @param startedAt when this process started; keeps its ids apart from those of earlier ones
   */
  CallerRequests(ProcessId entry, Instant startedAt) {
    this.idPrefix = entry.value() + "-" + Long.toString(startedAt.toEpochMilli(), 36) + "-";
  }

  /** Returns an id that no other request of this or an earlier process has. */
  RequestId nextId() {
    return new RequestId(idPrefix + counter.incrementAndGet());
  }

  /**
   * Translates one request.
   *
   * @param id the id of the request
   * @param http the request
   * @param service the service in the path
   * @param body the body, or null if there is none
   * @param configuration gives the deadline of a request that names none
   * @param now the present moment
   * @throws BadRequestException if the request is wrong; its message is for the caller
   */
  CallerRequest translate(
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
        HttpNames.passedOn(http.getHeaders()),
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

  /** Returns what follows the service in the path, as the caller wrote it, with the query. */
  private static String pathAndQuery(HttpRequest<?> http, String service) {
    URI uri = http.getUri();
    String below = uri.getRawPath().substring(PREFIX.length() + service.length());
    String path = below.isEmpty() ? "/" : below;
    return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
  }

  private static Optional<IdempotencyKey> idempotencyKey(HttpRequest<?> http)
      throws BadRequestException {
    String text = http.getHeaders().get(IdempotencyKey.HEADER);
    if (text != null) {
      return Optional.of(parseKey(text));
    }
    boolean saidIdempotent = "true".equals(http.getHeaders().get(HttpNames.IDEMPOTENT));
    if (METHODS_NEEDING_A_KEY.contains(http.getMethodName()) && !saidIdempotent) {
      throw new BadRequestException(
          http.getMethodName()
              + " needs the header "
              + IdempotencyKey.HEADER
              + " with a UUID of version 7, so that it runs at most once; or "
              + HttpNames.IDEMPOTENT
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
    String text = http.getHeaders().get(HttpNames.DEADLINE_MILLISECONDS);
    if (text != null) {
      return parseDeadline(text);
    }
    ServiceSettings settings = configuration.services().get(service);
    return settings == null
        ? DEADLINE_OF_UNKNOWN_SERVICE
        : Duration.ofMillis(settings.deadlineMilliseconds());
  }

  private static Duration parseDeadline(String text) throws BadRequestException {
    try {
      Duration deadline = Duration.ofMillis(Long.parseLong(text));
      if (!deadline.isNegative()
          && !deadline.isZero()
          && deadline.compareTo(LONGEST_DEADLINE) <= 0) {
        return deadline;
      }
    } catch (NumberFormatException notANumber) {
      // Refused below with the same message as a number out of range.
    }
    throw new BadRequestException(
        HttpNames.DEADLINE_MILLISECONDS
            + " must be a whole number from 1 to "
            + LONGEST_DEADLINE.toMillis()
            + " milliseconds");
  }
}
