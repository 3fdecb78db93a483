package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.DamagedSnapshotException;

/**
 * The serialized form of {@link PoolState} in snapshots.
 *
 * @param pools every pool with the version of the configuration that defined it
 * @param hosts every host
 */
record PoolSnapshot(ImmutableList<PoolCommand.DefinePool> pools, ImmutableList<HostRecord> hosts)
    implements PeerMessage {
  private static final int KIND = 559;
  private static final MessageCodec CODEC =
      new MessageCodec(MessageKinds.builder().add(KIND, PoolSnapshot.class).build());

  byte[] encode() {
    return CODEC.encode(this);
  }

  static PoolSnapshot decode(byte[] bytes) throws DamagedSnapshotException {
    try {
      return (PoolSnapshot) CODEC.decode(bytes);
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the pools in the snapshot cannot be decoded: restore the replica from its peers",
          malformed);
    }
  }
}
