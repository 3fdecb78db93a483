package org.verbenawheel.configuration;

import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** Answers a {@link ConfigurationQuestion}. */
public sealed interface ConfigurationAnswer extends PeerMessage {

  /**
   * Confirms that the entry's version is the newest that was accepted when the question arrived.
   *
   * @param version the version that the question named
   */
  record Unchanged(long version) implements ConfigurationAnswer {}

  /**
   * Gives what changed since the entry's version, up to the newest.
   *
   * @param delta the change
   */
  record Changed(ConfigurationDelta delta) implements ConfigurationAnswer {}

  /**
   * Gives the newest configuration whole, to an entry that holds none or a very old one.
   *
   * @param configuration the newest
   */
  record Whole(VersionedConfiguration configuration) implements ConfigurationAnswer {}

  /**
   * Says that the asked replica could not confirm anything: it does not lead, or has no quorum.
   *
   * @param leader the replica that it takes for the leader, if it knows one
   */
  record NotConfirmed(Optional<ProcessId> leader) implements ConfigurationAnswer {}
}
