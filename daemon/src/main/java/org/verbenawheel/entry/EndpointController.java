package org.verbenawheel.entry;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.daemon.ErrorBody;
import org.verbenawheel.daemon.Json;
import org.verbenawheel.daemon.MalformedBodyException;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.membership.MembershipNode;
import org.verbenawheel.request.RunVerdict;

/** Takes the announcements and departures of endpoints. */
@Controller("/membership")
@Consumes(MediaType.ALL)
@Requires(bean = MembershipNode.class)
public final class EndpointController {
  private final MembershipNode membership;

  EndpointController(MembershipNode membership) {
    this.membership = membership;
  }

  /** Takes an {@link EndpointAnnouncement} in JSON and answers with the reply to it. */
  @Post("/announcements")
  public CompletableFuture<HttpResponse<?>> announce(@Body byte[] body) {
    try {
      return membership
          .announceLater(Json.read(body, EndpointAnnouncement.class))
          .thenApply(reply -> Json.respond(HttpStatus.OK, reply));
    } catch (MalformedBodyException malformed) {
      return CompletableFuture.completedFuture(refuse(malformed, "an endpoint announcement"));
    }
  }

  /** Takes a {@link Departure} in JSON: the endpoint gets no new work from now on. */
  @Post("/departures")
  public HttpResponse<?> leave(@Body byte[] body) {
    try {
      Departure departure = Json.read(body, Departure.class);
      membership.leave(departure.endpoint(), departure.incarnation());
      return Json.respond(HttpStatus.OK, departure);
    } catch (MalformedBodyException malformed) {
      return refuse(malformed, "a departure: endpoint and incarnation");
    }
  }

  private static HttpResponse<?> refuse(MalformedBodyException malformed, String expected) {
    return Json.respond(
        HttpStatus.BAD_REQUEST,
        new ErrorBody(
            "malformed body",
            malformed.explanation(),
            expected,
            "see docs/operate/membership.md for the fields",
            RunVerdict.NOT_RUN));
  }

  /**
   * Says that an endpoint leaves.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation that leaves, and all before it
   */
  public record Departure(EndpointId endpoint, long incarnation) {}
}
