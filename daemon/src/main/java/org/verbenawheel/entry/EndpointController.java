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

/** Receives the announcements and departures of endpoints over HTTP. */
@Controller("/membership")
@Consumes(MediaType.ALL)
@Requires(bean = MembershipNode.class)
public final class EndpointController {
  private final MembershipNode membership;

  EndpointController(MembershipNode membership) {
    this.membership = membership;
  }

  /** Forwards an {@link EndpointAnnouncement} in JSON to the membership and returns its reply. */
  @Post("/announcements")
  public CompletableFuture<HttpResponse<?>> announce(@Body byte[] body) {
    try {
      return membership
          .announceLater(Json.read(body, EndpointAnnouncement.class))
          .thenApply(reply -> Json.respond(HttpStatus.OK, reply));
    } catch (MalformedBodyException malformed) {
      return CompletableFuture.completedFuture(badRequest(malformed, "an endpoint announcement"));
    }
  }

  /** Removes the endpoint in a {@link Departure} in JSON; it gets no new requests from now on. */
  @Post("/departures")
  public HttpResponse<?> leave(@Body byte[] body) {
    try {
      Departure departure = Json.read(body, Departure.class);
      membership.leave(departure.endpoint(), departure.incarnation());
      return Json.respond(HttpStatus.OK, departure);
    } catch (MalformedBodyException malformed) {
      return badRequest(malformed, "a departure: endpoint and incarnation");
    }
  }

  private static HttpResponse<?> badRequest(MalformedBodyException malformed, String expected) {
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
   * The request of an endpoint to receive no more work.
   *
   * @param endpoint the endpoint that leaves
   * @param incarnation the incarnation that leaves; earlier ones leave with it
   */
  public record Departure(EndpointId endpoint, long incarnation) {}
}
