package org.verbenawheel.placement;

import java.time.Instant;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.platform.Resources;

/** What has to be done because of a placement decision. */
public sealed interface PlacementEffect {
  /** Returns the job it is about. */
  JobId job();

  /**
   * Starts a job on a worker.
   *
   * @param job the job
   * @param worker the worker
   * @param granted what it may use there
   * @param leaseUntil the worker stops the job then, unless it reports before
   */
  record Start(JobId job, HostName worker, Resources granted, Instant leaseUntil)
      implements PlacementEffect {}

  /**
   * Checkpoints a job and stops it; it starts again later.
   *
   * @param job the job
   * @param worker the worker it runs on
   */
  record Checkpoint(JobId job, HostName worker) implements PlacementEffect {}

  /**
   * Stops a job for good.
   *
   * @param job the job
   * @param worker the worker it runs on
   */
  record Stop(JobId job, HostName worker) implements PlacementEffect {}

  /**
   * Refuses a job: it was not run, or will not be run again.
   *
   * @param job the job
   * @param reason why, for programs
   * @param message why and what to do about it
   */
  record Refuse(JobId job, PlacementRefusalReason reason, String message)
      implements PlacementEffect {}
}
