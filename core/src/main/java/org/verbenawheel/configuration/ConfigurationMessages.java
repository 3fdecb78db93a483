package org.verbenawheel.configuration;

import org.verbenawheel.peer.MessageKinds;

/** Lists the kinds of message of this topic, numbers 400 to 449. */
public final class ConfigurationMessages {
  /** The kinds with their numbers. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(400, ApplyConfiguration.class)
          .add(401, ConfigurationReply.Accepted.class)
          .add(402, ConfigurationReply.Conflict.class)
          .add(403, ConfigurationReply.Invalid.class)
          .add(410, ConfigurationQuestion.class)
          .add(411, ConfigurationAnswer.Unchanged.class)
          .add(412, ConfigurationAnswer.Changed.class)
          .add(413, ConfigurationAnswer.Whole.class)
          .add(414, ConfigurationAnswer.NotConfirmed.class)
          .build();

  private ConfigurationMessages() {}
}
