package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.identity.ProcessId;

/**
 * Selects the control replica that receives the next question. It keeps a replica that confirms,
 * and after a failure follows the replica's hint to the leader or tries the next one.
 *
 * <p>It tries each replica once before it tries any again. Otherwise two replicas that wrongly name
 * each other as the leader would keep it from trying the others. Not thread-safe.
 */
final class ControlReplicaSelector {
  private final ImmutableList<ProcessId> controls;
  private final Set<ProcessId> failed = new HashSet<>();
  private ProcessId target;

  /**
   * Creates a selector that starts with the first replica.
   *
   * @param controls the control replicas, at least one
   */
  ControlReplicaSelector(ImmutableList<ProcessId> controls) {
    this.controls = controls;
    this.target = controls.get(0);
  }

  /** Returns the replica that receives the next question. */
  ProcessId target() {
    return target;
  }

  /**
   * Records that the target confirmed a configuration, which clears the failures of all replicas.
   */
  void onConfirmed() {
    failed.clear();
  }

  /**
   * Records that a replica failed to confirm, and selects the next target. Does nothing if the
   * replica is not the target any more.
   *
   * @param control the replica that received the question
   * @param leader the leader that the replica named, if any
   */
  void onFailure(ProcessId control, Optional<ProcessId> leader) {
    if (!control.equals(target)) {
      return;
    }
    failed.add(control);
    if (failed.containsAll(controls)) {
      failed.clear();
      failed.add(control);
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
