package org.verbenawheel.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/**
 * Encodes a message as its kind's number followed by its record, both in MessagePack.
 *
 * <p>Fields that a record does not know are ignored, so that a newer process may talk to an older
 * one during a rolling restart. Safe for use by many threads.
 */
public final class MessageCodec {
  private final MessageKinds kinds;
  private final ObjectMapper mapper;

  /**
   * Makes a codec.
   *
   * @param kinds the kinds of message that can be encoded and decoded
   */
  public MessageCodec(MessageKinds kinds) {
    this.kinds = kinds;
    this.mapper = configure(new ObjectMapper(new MessagePackFactory()));
  }

  /** Returns a JSON mapper that writes the same records as readable text, for dumps and APIs. */
  public static ObjectMapper jsonMapper() {
    return configure(JsonMapper.builder().build());
  }

  private static ObjectMapper configure(ObjectMapper mapper) {
    return mapper
        .registerModule(new Jdk8Module())
        .registerModule(new JavaTimeModule())
        .registerModule(new GuavaModule())
        .setSerializationInclusion(JsonInclude.Include.NON_ABSENT)
        .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
        .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  }

  /**
   * Encodes a message.
   *
   * @param message a message of a registered kind
   * @throws IllegalArgumentException if the kind was never registered or the record cannot be
   *     written
   */
  public byte[] encode(PeerMessage message) {
    int number = kinds.numberOf(message);
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(number);
      packer.addPayload(mapper.writeValueAsBytes(message));
      return packer.toByteArray();
    } catch (IOException unwritable) {
      throw new IllegalArgumentException("cannot encode " + message.getClass(), unwritable);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes what {@link #encode} returned
   * @throws MalformedMessageException if the bytes are not a message of a registered kind
   */
  public PeerMessage decode(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int number = unpacker.unpackInt();
      Class<? extends PeerMessage> kind =
          kinds
              .kindOf(number)
              .orElseThrow(
                  () -> new MalformedMessageException("message kind not known: " + number));
      int start = (int) unpacker.getTotalReadBytes();
      requireWhole(unpacker);
      return mapper.readValue(bytes, start, bytes.length - start, kind);
    } catch (IOException | MessagePackException | IllegalArgumentException malformed) {
      throw new MalformedMessageException("message cannot be decoded", malformed);
    }
  }

  /** Fails on a length beyond the bytes, for which the mapper would make room before it fails. */
  private static void requireWhole(MessageUnpacker unpacker) throws IOException {
    long values = 1;
    while (values > 0) {
      values--;
      switch (unpacker.getNextFormat().getValueType()) {
        case ARRAY -> values += unpacker.unpackArrayHeader();
        case MAP -> values += 2L * unpacker.unpackMapHeader();
        default -> unpacker.skipValue();
      }
    }
  }
}
