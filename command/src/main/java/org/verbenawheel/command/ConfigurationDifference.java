package org.verbenawheel.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.Configuration;

/**
 * The values that differ between two configurations, one line for each.
 *
 * @param lines for example {@code services.hobart-desk.queueLimit: 512 -> 40}
 */
record ConfigurationDifference(ImmutableList<String> lines) {
  private static final ObjectMapper MAPPER = MessageCodec.jsonMapper();
  private static final String ABSENT = "absent";

  /**
   * Compares two configurations value by value; a value that only one has is shown as absent in the
   * other.
   *
   * @param before the current configuration
   * @param after the proposed configuration
   */
  static ConfigurationDifference between(Configuration before, Configuration after) {
    Map<String, String> earlier = values(before);
    Map<String, String> later = values(after);
    Set<String> keys = Sets.union(earlier.keySet(), later.keySet());
    return new ConfigurationDifference(
        keys.stream()
            .sorted()
            .filter(key -> !valueOf(earlier, key).equals(valueOf(later, key)))
            .map(key -> key + ": " + valueOf(earlier, key) + " -> " + valueOf(later, key))
            .collect(ImmutableList.toImmutableList()));
  }

  private static String valueOf(Map<String, String> values, String key) {
    return values.getOrDefault(key, ABSENT);
  }

  private static Map<String, String> values(Configuration configuration) {
    Map<String, String> values = new TreeMap<>();
    collect("", MAPPER.valueToTree(configuration), values);
    return values;
  }

  private static void collect(String key, JsonNode node, Map<String, String> values) {
    if (!node.isObject()) {
      values.put(key, node.asText());
      return;
    }
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      String path = key.isEmpty() ? field.getKey() : key + "." + field.getKey();
      collect(path, field.getValue(), values);
    }
  }

  /** Returns the lines as text output. */
  @Override
  public String toString() {
    return lines.isEmpty() ? "no difference" : String.join("\n", lines);
  }
}
