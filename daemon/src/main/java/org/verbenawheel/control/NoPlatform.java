package org.verbenawheel.control;

import java.time.Instant;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.OperationReport;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.platform.PlatformException;
import org.verbenawheel.platform.UsageReport;
import org.verbenawheel.request.RunVerdict;

/** Refuses every call; used when the settings name no platform. */
final class NoPlatform implements Platform {
  @Override
  public OperationReport perform(HostOperation operation) throws PlatformException {
    throw notConfigured();
  }

  @Override
  public UsageReport usageSince(Instant since) throws PlatformException {
    throw notConfigured();
  }

  private static PlatformException notConfigured() {
    return new PlatformException(
        RunVerdict.NOT_RUN,
        "no platform is configured: set platformAddress in the control settings");
  }
}
