package org.verbenawheel.entry;

import com.google.common.base.Throwables;
import io.micronaut.http.client.exceptions.ContentLengthExceededException;
import io.micronaut.http.client.exceptions.ReadTimeoutException;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.DecoderException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.concurrent.TimeoutException;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.routing.AttemptFailure;
import org.verbenawheel.routing.AttemptOutcome;

/**
 * Classifies the exceptions of the HTTP client by kind and verdict.
 *
 * <p>Only a failure to connect is {@link RunVerdict#NOT_RUN}: once a connection is open, part of
 * the request may have been sent.
 */
final class AttemptFailures {
  /** The outcome of an exchange that completed with neither a response nor an exception. */
  static final AttemptOutcome NO_ANSWER =
      new AttemptOutcome.Failed(
          AttemptFailure.CONNECTION_LOST,
          RunVerdict.MAY_HAVE_RUN,
          "the exchange ended without a response");

  private AttemptFailures() {}

  /**
   * Returns the outcome of an attempt that ended with an exception.
   *
   * @param failure the exception from the HTTP client; the kind is taken from its causes
   */
  static AttemptOutcome classify(Throwable failure) {
    AttemptFailure kind = kindOf(failure);
    RunVerdict verdict =
        kind == AttemptFailure.NOT_CONNECTED ? RunVerdict.NOT_RUN : RunVerdict.MAY_HAVE_RUN;
    return new AttemptOutcome.Failed(kind, verdict, describe(failure));
  }

  private static AttemptFailure kindOf(Throwable failure) {
    if (hasCause(failure, ConnectException.class)
        || hasCause(failure, ConnectTimeoutException.class)
        || hasCause(failure, NoRouteToHostException.class)
        || hasCause(failure, IllegalStateException.class)) {
      return AttemptFailure.NOT_CONNECTED;
    }
    if (hasCause(failure, TimeoutException.class)
        || hasCause(failure, ReadTimeoutException.class)) {
      return AttemptFailure.TIMED_OUT;
    }
    if (hasCause(failure, ContentLengthExceededException.class)
        || hasCause(failure, DecoderException.class)) {
      return AttemptFailure.ANSWER_NOT_WHOLE;
    }
    return AttemptFailure.CONNECTION_LOST;
  }

  private static boolean hasCause(Throwable failure, Class<? extends Throwable> kind) {
    return Throwables.getCausalChain(failure).stream().anyMatch(kind::isInstance);
  }

  private static String describe(Throwable failure) {
    Throwable root = Throwables.getRootCause(failure);
    return root.getClass().getSimpleName() + ": " + root.getMessage();
  }
}
