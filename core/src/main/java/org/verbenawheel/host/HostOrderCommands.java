package org.verbenawheel.host;

import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** The replicated command that records an order for a host, and its reply. */
public final class HostOrderCommands {
  private HostOrderCommands() {}

  /**
   * Records that a leader is about to send an order for a host.
   *
   * @param host the host's name
   * @param pool the pool that the host is to join; empty if it is to go down for maintenance
   * @param term the leader's term
   */
  public record RecordHostOrder(String host, String pool, long term) implements ControlCommand {}

  /** Replies to {@link RecordHostOrder}. */
  public record HostOrderRecorded() implements CommandReply {}
}
