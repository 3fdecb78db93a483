package org.verbenawheel.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.Headers;

final class MessageCodecTest {
  private final MessageCodec codec =
      new MessageCodec(MessageKinds.builder().add(1, Sample.class).build());

  @Test
  void roundTripsAMessage() throws MalformedMessageException {
    Sample sample =
        new Sample(
            new ServiceName("hobart-desk"),
            Optional.of(Instant.parse("2026-12-04T08:00:00.123456789Z")),
            Body.ofText("two wheels"),
            Headers.copyOf(ImmutableMap.of("Accept", ImmutableList.of("a", "b"))),
            ImmutableMap.of(new ServiceName("members-hub"), 7L));
    assertThat(codec.decode(codec.encode(sample))).isEqualTo(sample);
  }

  @Test
  void roundTripsAbsentValues() throws MalformedMessageException {
    Sample sample =
        new Sample(
            new ServiceName("s"), Optional.empty(), Body.EMPTY, Headers.NONE, ImmutableMap.of());
    assertThat(codec.decode(codec.encode(sample))).isEqualTo(sample);
  }

  @Test
  void refusesAnUnknownKind() {
    assertThrows(MalformedMessageException.class, () -> codec.decode(new byte[] {2, (byte) 0x80}));
  }

  @Test
  void refusesATruncatedMessage() {
    byte[] complete =
        codec.encode(
            new Sample(
                new ServiceName("s"),
                Optional.empty(),
                Body.ofText("text"),
                Headers.NONE,
                ImmutableMap.of()));
    for (int length = 0; length < complete.length; length++) {
      byte[] truncated = java.util.Arrays.copyOf(complete, length);
      assertThrows(MalformedMessageException.class, () -> codec.decode(truncated));
    }
  }

  /**
   * Guards against a few bytes from a peer that claim a length of 268 MB: the mapper would allocate
   * that much before it finds that the bytes are missing.
   */
  @Test
  void doesNotAllocateForAFalseLength() {
    byte[] falseLength = {
      2,
      (byte) 0x81,
      (byte) 0xa5,
      'b',
      'y',
      't',
      'e',
      's',
      (byte) 0x91,
      (byte) 0xc6,
      0x0f,
      (byte) 0xff,
      0,
      0
    };
    MessageCodec bytesCodec = new MessageCodec(MessageKinds.builder().add(2, Bytes.class).build());
    assertThrows(MalformedMessageException.class, () -> bytesCodec.decode(falseLength));
    long before = allocatedBytes();
    assertThrows(MalformedMessageException.class, () -> bytesCodec.decode(falseLength));
    assertThat(allocatedBytes() - before).isLessThan(1_000_000);
  }

  private static long allocatedBytes() {
    return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadAllocatedBytes();
  }

  record Bytes(List<byte[]> bytes) implements PeerMessage {}

  record Sample(
      ServiceName service,
      Optional<Instant> at,
      Body body,
      Headers headers,
      ImmutableMap<ServiceName, Long> counts)
      implements PeerMessage {}
}
