package org.verbenawheel.configuration;

import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** A control replica's answer to a {@link ConfigurationQuestion}. */
public sealed interface ConfigurationAnswer extends PeerMessage {

  /**
   * Confirms that no newer version than the entry's had been accepted when the question arrived.
   *
   * @param version the version from the question
   */
  record Unchanged(long version) implements ConfigurationAnswer {}

  /**
   * Carries the changes from the entry's version to the newest one.
   *
   * @param delta the combined changes
   */
  record Changed(ConfigurationDelta delta) implements ConfigurationAnswer {}

  /**
   * Carries the whole newest configuration, for an entry that has none or one so old that the
   * history no longer covers it.
   *
   * @param configuration the newest configuration
   */
  record Whole(VersionedConfiguration configuration) implements ConfigurationAnswer {}

  /**
   * Reports that the replica could not confirm its state: it is not the leader, or has no quorum.
   *
   * @param leader the leader as far as the replica knows; empty if it knows none
   */
  record NotConfirmed(Optional<ProcessId> leader) implements ConfigurationAnswer {}
}
