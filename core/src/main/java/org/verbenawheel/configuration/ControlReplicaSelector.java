package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.identity.ProcessId;

/**
 * Chooses the control replica to ask next. It stays with one that answers, follows a hint to the
 * leader, and otherwise tries each replica once before any of them again, so that two replicas that
 * wrongly name one another cannot hold it. Not thread-safe.
 */
final class ControlChoice {
  private final ImmutableList<ProcessId> controls;
  private final Set<ProcessId> failed = new HashSet<>();
  private ProcessId target;

  /**
   * Makes a choice that starts at the first replica.
   *
   * @param controls the replicas, at least one
   */
  ControlChoice(ImmutableList<ProcessId> controls) {
    this.controls = controls;
    this.target = controls.get(0);
  }

  /** Returns the replica to ask now. */
  ProcessId target() {
    return target;
  }

  /** Notes that the replica asked last confirmed something. */
  void onConfirmed() {
    failed.clear();
  }

  /**
   * Notes that a replica confirmed nothing.
   *
   * @param asked the replica that was asked
   * @param leader the replica that it takes for the leader, if it said one
   */
  void onFailure(ProcessId asked, Optional<ProcessId> leader) {
    if (!asked.equals(target)) {
      return;
    }
    failed.add(asked);
    if (failed.containsAll(controls)) {
      failed.clear();
      failed.add(asked);
    }
    target = leader.filter(this::isUntried).orElseGet(this::nextUntried);
  }

  private boolean isUntried(ProcessId control) {
    return controls.contains(control) && !failed.contains(control);
  }

  private ProcessId nextUntried() {
    int position = controls.indexOf(target);
    for (int step = 1; step < controls.size(); step++) {
      ProcessId candidate = controls.get((position + step) % controls.size());
      if (!failed.contains(candidate)) {
        return candidate;
      }
    }
    return target;
  }
}
