package org.verbenawheel.gateway;

import java.time.Duration;
import java.util.Optional;
import org.verbenawheel.job.JobCommands.AcceptJob;

/** Decides whether a job that has not been stored yet is refused because of the present load. */
public interface AdmissionPolicy {
  /** Returns when the caller should come back, if the job is to be refused; else empty. */
  Optional<Duration> retryAfter(AcceptJob job);

  /**
   * Returns how long ago a job was refused first; zero if it was not. Its objective counts from
   * then.
   */
  Duration waitedSinceRefusal(String job);
}
