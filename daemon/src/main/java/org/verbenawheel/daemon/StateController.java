package org.verbenawheel.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.Map;

/** Shows whether a process is ready, its metrics and, to operators, its whole state. */
@Controller
@Requires(bean = DaemonState.class)
public final class StateController {
  private final DaemonState state;

  StateController(DaemonState state) {
    this.state = state;
  }

  /** Answers the platform's balancer: 200 while new work may come, 503 otherwise. */
  @Get("/health/ready")
  public HttpResponse<?> ready() {
    return state.ready()
        ? Json.respond(HttpStatus.OK, Map.of("ready", true))
        : Json.respond(HttpStatus.SERVICE_UNAVAILABLE, Map.of("ready", false));
  }

  /** Answers 200 while the process runs. */
  @Get("/health/live")
  public HttpResponse<?> live() {
    return Json.respond(HttpStatus.OK, Map.of("live", true));
  }

  /** Returns the metrics. */
  @Get("/metrics")
  public HttpResponse<?> metrics() {
    return Json.respond(HttpStatus.OK, MetricsDocument.of(state.metrics()));
  }

  /** Returns the state of every part. */
  @Get("/v1/dump")
  public HttpResponse<?> dump() {
    return Json.respond(HttpStatus.OK, state.dump());
  }
}
