package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;

/** A part of the state that holds the values appended to it, in order. */
final class AppendedList implements StatePart {
  static final MessageCodec CODEC =
      new MessageCodec(
          MessageKinds.builder()
              .addAll(ReplicationMessages.KINDS)
              .add(900, Add.class)
              .add(901, Added.class)
              .build());

  private final List<String> values = new ArrayList<>();

  /** Appends a value; the part throws on the value "fault". */
  record Add(String value) implements ControlCommand {}

  /** The reply to {@link Add}: the number of values after it. */
  record Added(int size) implements CommandReply {}

  ImmutableList<String> values() {
    return ImmutableList.copyOf(values);
  }

  @Override
  public String name() {
    return "list";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(Add.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    String value = ((Add) command).value();
    if (value.equals("fault")) {
      throw new IllegalStateException("value not allowed");
    }
    values.add(value);
    return new Added(values.size());
  }

  @Override
  public byte[] snapshot() {
    return String.join("\n", values).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void restore(byte[] snapshot) {
    values.clear();
    if (snapshot.length > 0) {
      values.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n", -1)));
    }
  }

  @Override
  public Object dump() {
    return values.size();
  }
}
