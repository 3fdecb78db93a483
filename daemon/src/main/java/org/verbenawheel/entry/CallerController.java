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

/** Takes callers' requests to {@code /service/<name>/<path>} with any method and body. */
@Controller("/service")
@Consumes(MediaType.ALL)
@Requires(bean = CallerService.class)
public final class CallerController {
  private static final String ROOT = "/{service}";
  private static final String BELOW = "/{service}/{+path}";

  private final CallerService callers;
  private final CallerRequests requests;
  private final InstantSource clock;

  CallerController(CallerService callers, CallerRequests requests, InstantSource clock) {
    this.callers = callers;
    this.requests = requests;
    this.clock = clock;
  }

  /** Serves a GET request. */
  @Get(uris = {ROOT, BELOW})
  public Publisher<HttpResponse<?>> get(HttpRequest<?> request, @PathVariable String service) {
    return serve(request, service, null);
  }

  /** Serves a POST request. */
  @Post(uris = {ROOT, BELOW})
  public Publisher<HttpResponse<?>> post(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  /** Serves a PUT request. */
  @Put(uris = {ROOT, BELOW})
  public Publisher<HttpResponse<?>> put(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  /** Serves a PATCH request. */
  @Patch(uris = {ROOT, BELOW})
  public Publisher<HttpResponse<?>> patch(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  /** Serves a DELETE request. */
  @Delete(uris = {ROOT, BELOW})
  public Publisher<HttpResponse<?>> delete(
      HttpRequest<?> request, @PathVariable String service, @Body byte @Nullable [] body) {
    return serve(request, service, body);
  }

  private Publisher<HttpResponse<?>> serve(
      HttpRequest<?> http, String service, byte @Nullable [] body) {
    RequestId id = requests.nextId();
    try {
      CallerRequest request =
          requests.translate(id, http, service, body, callers.configuration(), clock.instant());
      return Mono.fromFuture(() -> callers.serve(request), true)
          .doOnCancel(() -> callers.cancel(id))
          .map(outcome -> CallerResponses.of(id, outcome));
    } catch (BadRequestException refused) {
      CallerOutcome refusal = Refusal.notRun(RefusalReason.BAD_REQUEST, refused.explanation());
      return Mono.just(CallerResponses.of(id, refusal));
    }
  }
}
