package org.verbenawheel.control;

import java.time.Instant;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.OperationReport;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.platform.PlatformException;
import org.verbenawheel.platform.UsageReport;
import org.verbenawheel.request.RunVerdict;

/** Stands for the platform of a deployment whose settings name none: does nothing. */
final class NoPlatform implements Platform {
  @Override
  public OperationReport perform(HostOperation operation) throws PlatformException {
    throw missing();
  }

  @Override
  public UsageReport usageSince(Instant since) throws PlatformException {
    throw missing();
  }

  private static PlatformException missing() {
    return new PlatformException(
        RunVerdict.NOT_RUN, "no platform: give platformAddress in the settings of control");
  }
}
