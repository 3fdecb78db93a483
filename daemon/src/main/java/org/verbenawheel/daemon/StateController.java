package org.verbenawheel.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.Map;

/** Serves the health checks and metrics of a process and, to operators, a dump of its state. */
@Controller
@Requires(bean = DaemonState.class)
public final class StateController {
  private final DaemonState state;

  StateController(DaemonState state) {
    this.state = state;
  }

  /** Returns 200 while the platform's load balancer may send new work, and 503 otherwise. */
  @Get("/health/ready")
  public HttpResponse<?> ready() {
    return state.ready()
        ? Json.respond(HttpStatus.OK, Map.of("ready", true))
        : Json.respond(HttpStatus.SERVICE_UNAVAILABLE, Map.of("ready", false));
  }

  /** Returns 200 as long as the process runs. */
  @Get("/health/live")
  public HttpResponse<?> live() {
    return Json.respond(HttpStatus.OK, Map.of("live", true));
  }

  /** Returns the current values of all metrics by name. */
  @Get("/metrics")
  public HttpResponse<?> metrics() {
    return Json.respond(HttpStatus.OK, MetricsDocument.of(state.metrics()));
  }

  /** Returns the current state of every part, for debugging. */
  @Get("/v1/dump")
  public HttpResponse<?> dump() {
    return Json.respond(HttpStatus.OK, state.dump());
  }
}
