package org.verbenawheel.event;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EventLineTest {
  @Test
  void writesPairsInOrder() {
    assertThat(
            EventLine.of(Event.PROCESS_READY)
                .with("process", "entry-1")
                .with("port", 8080)
                .toString())
        .isEqualTo("event=process_ready process=entry-1 port=8080");
  }

  @Test
  void escapesValuesThatCouldForgeALine() {
    assertThat(EventLine.of(Event.REQUEST_REFUSED).with("message", "a \"b\"\nevent=x\t").toString())
        .isEqualTo("event=request_refused message=\"a \\\"b\\\"\\nevent=x\\u0009\"");
  }
}
