package org.verbenawheel.placement;

import java.time.Instant;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.platform.Resources;

/** An action that the caller of {@link PlacementDecider} must carry out. */
public sealed interface PlacementEffect {
  /** Returns the job that the action applies to. */
  JobId job();

  /**
   * Starts a job on a worker.
   *
   * @param job the job
   * @param worker the worker
   * @param granted the resources that the job may use there
   * @param leaseUntil when the worker stops the job, unless a usage report renews the lease before
   */
  record Start(JobId job, HostName worker, Resources granted, Instant leaseUntil)
      implements PlacementEffect {}

  /**
   * Checkpoints a job and stops it, to free resources for an urgent one. It is started again later.
   *
   * @param job the job
   * @param worker the worker that it runs on
   */
  record Checkpoint(JobId job, HostName worker) implements PlacementEffect {}

  /**
   * Stops a job that was cancelled. It is not started again.
   *
   * @param job the job
   * @param worker the worker that it runs on
   */
  record Stop(JobId job, HostName worker) implements PlacementEffect {}

  /**
   * Refuses a job: it was not run, or will not be run again.
   *
   * @param job the job
   * @param reason the cause, for programs
   * @param message the cause and what the owner can do, for people
   */
  record Refuse(JobId job, PlacementRefusalReason reason, String message)
      implements PlacementEffect {}
}
