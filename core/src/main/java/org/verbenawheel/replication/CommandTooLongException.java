package org.verbenawheel.replication;

import com.google.common.base.Throwables;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.request.RunVerdict;

/** Thrown when a command is longer than the log accepts: it would be refused each time. */
public final class CommandTooLongException extends CommandNotCommittedException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param bytes the length of the encoded command
   */
  public CommandTooLongException(int bytes) {
    super(
        RunVerdict.NOT_RUN,
        "the command has "
            + bytes
            + " bytes; the limit in bytes is "
            + CommandSize.MAXIMUM_BYTES
            + ", so send less at once");
  }

  /** Returns the exception of this kind that caused a failure, if one did. */
  public static Optional<CommandTooLongException> causeOf(@Nullable Throwable failure) {
    return failure == null
        ? Optional.empty()
        : Throwables.getCausalChain(failure).stream()
            .filter(CommandTooLongException.class::isInstance)
            .map(CommandTooLongException.class::cast)
            .findFirst();
  }
}
