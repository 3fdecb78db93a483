package org.verbenawheel.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.request.RunVerdict;

/** Refuses requests to paths under {@code /v1} that lack the operator token. */
@ServerFilter("/v1/**")
@Requires(bean = OperatorToken.class)
public final class OperatorFilter {
  private final OperatorToken token;

  OperatorFilter(OperatorToken token) {
    this.token = token;
  }

  /**
   * Checks the Authorization header before a controller gets the request.
   *
   * @param request a request to a path under {@code /v1}
   * @return a response with status 401 if the token is missing or wrong; null to proceed
   */
  @RequestFilter
  public @Nullable HttpResponse<?> check(HttpRequest<?> request) {
    if (token.accepts(Optional.ofNullable(request.getHeaders().get("Authorization")))) {
      return null;
    }
    return Json.respond(
        HttpStatus.UNAUTHORIZED,
        new ErrorBody(
            "not authorized",
            "no Authorization header with this deployment's operator token",
            "Authorization: Bearer <token>",
            "give the command line --token-file with the operator token of this deployment",
            RunVerdict.NOT_RUN));
  }
}
