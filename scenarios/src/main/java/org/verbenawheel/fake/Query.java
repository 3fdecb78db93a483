package org.verbenawheel.fake;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Parser for the query part of a URI; does not decode percent escapes. */
final class Query {
  private static final Splitter PAIRS = Splitter.on('&').omitEmptyStrings();
  private static final Splitter PARTS = Splitter.on('=').limit(2);

  private Query() {}

  /** Returns the values by name; the last value wins if a name is repeated. */
  static ImmutableMap<String, String> parse(@Nullable String rawQuery) {
    ImmutableMap.Builder<String, String> values = ImmutableMap.builder();
    for (String pair : PAIRS.split(rawQuery == null ? "" : rawQuery)) {
      List<String> parts = PARTS.splitToList(pair);
      values.put(parts.get(0), parts.size() == 2 ? parts.get(1) : "");
    }
    return values.buildKeepingLast();
  }
}
