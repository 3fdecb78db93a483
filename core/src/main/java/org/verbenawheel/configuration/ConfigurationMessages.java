package org.verbenawheel.configuration;

import org.verbenawheel.peer.MessageKinds;

/** Assigns the configuration messages their numbers on the wire, from 400 to 449. */
public final class ConfigurationMessages {
  /** The commands, replies, questions and answers by number. */
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
