package org.verbenawheel.fleet;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.daemon.ErrorBody;
import org.verbenawheel.daemon.Json;
import org.verbenawheel.daemon.OperatorAnswers;
import org.verbenawheel.operator.OperatorReply;
import org.verbenawheel.request.RunVerdict;

/** Serves the job and worker requests of the operator API ({@code docs/design/operator-api.md}). */
@Controller("/v1")
@Consumes(MediaType.ALL)
@Requires(bean = FleetControl.class)
public final class FleetOperatorController {
  private final FleetControl control;

  FleetOperatorController(FleetControl control) {
    this.control = control;
  }

  /**
   * Returns the jobs in acceptance order, at most 1,000.
   *
   * @param queue only jobs of this queue; null for all queues
   * @param ended whether to include ended jobs
   */
  @Get("/jobs")
  public CompletableFuture<HttpResponse<?>> jobs(
      @Nullable @QueryValue String queue, @QueryValue(defaultValue = "false") boolean ended) {
    return OperatorAnswers.read(control.reports().jobs(Optional.ofNullable(queue), ended));
  }

  /** Returns one job with its tasks; 404 if it is unknown. */
  @Get("/jobs/{id}")
  public CompletableFuture<HttpResponse<?>> job(@PathVariable String id) {
    return OperatorAnswers.of(
        control.reports().job(id),
        job ->
            job.<HttpResponse<?>>map(details -> Json.respond(HttpStatus.OK, details))
                .orElseGet(() -> noSuchJob(id)));
  }

  /** Cancels a job and stops its tasks; 404 if it is unknown. */
  @Post("/jobs/{id}/cancel")
  public CompletableFuture<HttpResponse<?>> cancel(@PathVariable String id) {
    return OperatorAnswers.of(
        control.cancelJob(id),
        exists ->
            exists
                ? Json.respond(HttpStatus.OK, OperatorReply.accepted("job " + id + " is cancelled"))
                : noSuchJob(id));
  }

  /** Returns the registered workers. */
  @Get("/workers")
  public CompletableFuture<HttpResponse<?>> workers() {
    return OperatorAnswers.read(control.reports().workers());
  }

  private static HttpResponse<?> noSuchJob(String id) {
    return Json.respond(
        HttpStatus.NOT_FOUND,
        new ErrorBody(
            "no such job",
            id,
            "the id of a job that was accepted and has not ended long ago",
            "see: verbenawheel job list --ended",
            RunVerdict.NOT_RUN));
  }
}
