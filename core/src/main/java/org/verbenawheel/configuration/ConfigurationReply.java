package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.CommandReply;

/** The replies to {@link ApplyConfiguration}. */
public sealed interface ConfigurationReply extends CommandReply {

  /**
   * The configuration was accepted.
   *
   * @param version its version
   */
  record Accepted(long version) implements ConfigurationReply {}

  /**
   * Another change was accepted after the operator read the configuration; nothing was changed.
   *
   * @param expectedVersion the version that the operator read
   * @param currentVersion the accepted version
   * @param changedBy the operator who made the accepted version
   */
  record Conflict(long expectedVersion, long currentVersion, String changedBy)
      implements ConfigurationReply {}

  /**
   * The configuration is invalid; nothing was changed.
   *
   * @param problems every problem
   */
  record Invalid(ImmutableList<ConfigurationProblem> problems) implements ConfigurationReply {}
}
