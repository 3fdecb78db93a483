package org.verbenawheel.pool;

import org.verbenawheel.peer.MessageKinds;

/** Assigns the commands and replies on pools their numbers on the wire, from 520 to 559. */
public final class PoolCommands {
  /** The commands and replies of this package by number. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(520, PoolCommand.DefinePool.class)
          .add(521, PoolCommand.RegisterHost.class)
          .add(522, PoolCommand.RetireHost.class)
          .add(523, PoolCommand.StartActivity.class)
          .add(524, PoolCommand.AdvanceActivity.class)
          .add(525, PoolCommand.CancelActivity.class)
          .add(526, PoolCommand.FailActivity.class)
          .add(527, PoolCommand.ReportCondition.class)
          .add(540, PoolReply.PoolDefined.class)
          .add(541, PoolReply.HostChanged.class)
          .add(542, PoolReply.HostRetired.class)
          .add(543, PoolReply.Refused.class)
          .build();

  private PoolCommands() {}
}
