package org.verbenawheel.peer;

import com.google.common.collect.ImmutableBiMap;
import java.util.Optional;

/**
 * Maps the number that stands for a kind of message in a frame to the record that holds it.
 *
 * <p>Numbers are part of the protocol: one is never given to another kind. Each topic has a range:
 * 100 replication, 200 membership, 300 request path, 400 configuration, 500 control commands.
 */
public final class MessageKinds {
  private final ImmutableBiMap<Integer, Class<? extends PeerMessage>> kinds;

  private MessageKinds(ImmutableBiMap<Integer, Class<? extends PeerMessage>> kinds) {
    this.kinds = kinds;
  }

  /** Returns a builder without kinds. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the record for a number.
   *
   * @param number the number in a frame
   */
  public Optional<Class<? extends PeerMessage>> kindOf(int number) {
    return Optional.ofNullable(kinds.get(number));
  }

  /**
   * Returns the number for a message.
   *
   * @param message the message to send
   * @throws IllegalArgumentException if the message's kind was never added
   */
  public int numberOf(PeerMessage message) {
    Integer number = kinds.inverse().get(message.getClass());
    if (number == null) {
      throw new IllegalArgumentException(
          "message kind not registered: " + message.getClass().getName());
    }
    return number;
  }

  /** Builds a set of kinds. */
  public static final class Builder {
    private final ImmutableBiMap.Builder<Integer, Class<? extends PeerMessage>> kinds =
        ImmutableBiMap.builder();

    private Builder() {}

    /**
     * Adds one kind.
     *
     * @param number the number in a frame
     * @param kind the record
     */
    public Builder add(int number, Class<? extends PeerMessage> kind) {
      kinds.put(number, kind);
      return this;
    }

    /**
     * Adds all kinds of another set.
     *
     * @param others the kinds of one topic
     */
    public Builder addAll(MessageKinds others) {
      kinds.putAll(others.kinds);
      return this;
    }

    /**
     * Builds the set.
     *
     * @throws IllegalArgumentException if a number or a kind was added twice
     */
    public MessageKinds build() {
      return new MessageKinds(kinds.build());
    }
  }
}
