package org.verbenawheel.peer;

import com.google.common.collect.ImmutableBiMap;
import java.util.Optional;

/**
 * Registry of the message kinds of the protocol. Maps the number that identifies a kind in a frame
 * to the record class of its messages.
 *
 * <p>Numbers are part of the protocol and never reused for another kind. Each topic has a range of
 * numbers that starts at: 100 replication, 200 membership, 300 request path, 400 configuration, 500
 * control commands.
 */
public final class MessageKinds {
  private final ImmutableBiMap<Integer, Class<? extends PeerMessage>> kinds;

  private MessageKinds(ImmutableBiMap<Integer, Class<? extends PeerMessage>> kinds) {
    this.kinds = kinds;
  }

  /** Returns an empty builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the record class of a kind, or empty if the number is not registered.
   *
   * @param number the kind's number in a frame
   */
  public Optional<Class<? extends PeerMessage>> kindOf(int number) {
    return Optional.ofNullable(kinds.get(number));
  }

  /**
   * Returns the number of a message's kind.
   *
   * @param message the message to send
   * @throws IllegalArgumentException if the kind is not registered
   */
  public int numberOf(PeerMessage message) {
    Integer number = kinds.inverse().get(message.getClass());
    if (number == null) {
      throw new IllegalArgumentException(
          "message kind not registered: " + message.getClass().getName());
    }
    return number;
  }

  /** Collects the kinds of a registry. */
  public static final class Builder {
    private final ImmutableBiMap.Builder<Integer, Class<? extends PeerMessage>> kinds =
        ImmutableBiMap.builder();

    private Builder() {}

    /**
     * Registers one kind.
     *
     * @param number the kind's number in a frame
     * @param kind the record class of its messages
     */
    public Builder add(int number, Class<? extends PeerMessage> kind) {
      kinds.put(number, kind);
      return this;
    }

    /**
     * Registers all kinds of another registry.
     *
     * @param others the kinds of one topic
     */
    public Builder addAll(MessageKinds others) {
      kinds.putAll(others.kinds);
      return this;
    }

    /**
     * Builds the registry.
     *
     * @throws IllegalArgumentException if a number or a kind was added twice
     */
    public MessageKinds build() {
      return new MessageKinds(kinds.build());
    }
  }
}
