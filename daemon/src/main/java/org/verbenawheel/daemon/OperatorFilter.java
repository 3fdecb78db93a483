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

/** Lets only operators with the secret reach the paths under {@code /v1}. */
@ServerFilter("/v1/**")
@Requires(bean = OperatorToken.class)
public final class OperatorFilter {
  private final OperatorToken token;

  OperatorFilter(OperatorToken token) {
    this.token = token;
  }

  /**
   * Refuses a request without the secret.
   *
   * @param request the request
   * @return the refusal, or null to go on
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
