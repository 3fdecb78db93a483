package org.verbenawheel.entry;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.time.InstantSource;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * Serves callers' requests to {@code /service/<name>/<path>} with the methods GET, POST, PUT, PATCH
 * and DELETE.
 */
@Controller("/service")
@Consumes(MediaType.ALL)
@Requires(bean = CallerService.class)
public final class CallerController {
  private static final String SERVICE_ROOT = "/{service}";
  private static final String SERVICE_SUBPATH = "/{service}/{+path}";

  private final CallerService callers;
  private final CallerRequestParser requestParser;
  private final InstantSource clock;

  CallerController(CallerService callers, CallerRequestParser requestParser, InstantSource clock) {
    this.callers = callers;
    this.requestParser = requestParser;
    this.clock = clock;
  }

  /** Serves a GET request. */
  @Get(uris = {SERVICE_ROOT, SERVICE_SUBPATH})
  public Publisher<HttpResponse<?>> get(HttpRequest<?> request, @PathVariable String service) {
    return serve(request, service, null);
  }

  /** Serves a POST request. */
  @Post(uris = {SERVICE_ROOT, SERVICE_SUBPATH})
  public Publisher<HttpResponse<?>> post(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  /** Serves a PUT request. */
  @Put(uris = {SERVICE_ROOT, SERVICE_SUBPATH})
  public Publisher<HttpResponse<?>> put(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  /** Serves a PATCH request. */
  @Patch(uris = {SERVICE_ROOT, SERVICE_SUBPATH})
  public Publisher<HttpResponse<?>> patch(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  /** Serves a DELETE request. */
  @Delete(uris = {SERVICE_ROOT, SERVICE_SUBPATH})
  public Publisher<HttpResponse<?>> delete(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  private Publisher<HttpResponse<?>> serve(
      HttpRequest<?> http, String service, byte @Nullable [] body) {
    RequestId id = requestParser.nextId();
    try {
      CallerRequest request =
          requestParser.parse(id, http, service, body, callers.configuration(), clock.instant());
      return Mono.fromFuture(() -> callers.serve(request), true)
          .doOnCancel(() -> callers.cancel(id))
          .map(outcome -> CallerResponses.of(id, outcome));
    } catch (BadRequestException invalid) {
      CallerOutcome refusal = Refusal.notRun(RefusalReason.BAD_REQUEST, invalid.explanation());
      return Mono.just(CallerResponses.of(id, refusal));
    }
  }
}
