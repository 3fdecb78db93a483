package org.verbenawheel.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * HTTP headers, keyed by lower-case name, in order.
 *
 * @param values the values of each header
 */
public record Headers(@JsonValue ImmutableMap<String, ImmutableList<String>> values) {
  /** No headers. */
  public static final Headers NONE = new Headers(ImmutableMap.of());

  /**
   * Returns headers with their names converted to lower case. Of names that differ only in case,
   * the last one's values are kept.
   *
   * @param values the values of each header
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static Headers copyOf(Map<String, List<String>> values) {
    ImmutableMap.Builder<String, ImmutableList<String>> copy = ImmutableMap.builder();
    values.forEach(
        (name, list) -> copy.put(name.toLowerCase(Locale.ROOT), ImmutableList.copyOf(list)));
    return new Headers(copy.buildKeepingLast());
  }

  /**
   * Returns the first value of a header; empty if the header is absent.
   *
   * @param name the name, in upper or lower case
   */
  public Optional<String> first(String name) {
    return Optional.ofNullable(values.get(name.toLowerCase(Locale.ROOT)))
        .flatMap(list -> list.stream().findFirst());
  }
}
