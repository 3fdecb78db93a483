package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.CommandReply;

/** Answers {@link ApplyConfiguration}. */
public sealed interface ConfigurationReply extends CommandReply {

  /**
   * Says that the configuration was accepted.
   *
   * @param version the version that it has now
   */
  record Accepted(long version) implements ConfigurationReply {}

  /**
   * Says that another change came first; nothing was changed.
   *
   * @param expectedVersion the version that the operator started from
   * @param currentVersion the version that stands
   * @param changedBy who made that version
   */
  record Conflict(long expectedVersion, long currentVersion, String changedBy)
      implements ConfigurationReply {}

  /**
   * Says that the configuration is not valid; nothing was changed.
   *
   * @param problems every problem
   */
  record Invalid(ImmutableList<ConfigurationProblem> problems) implements ConfigurationReply {}
}
