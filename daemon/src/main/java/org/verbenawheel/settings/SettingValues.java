package org.verbenawheel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentProblem;
import org.verbenawheel.identity.ProcessId;

/** The values of one settings file, each checked against its definition. Immutable. */
final class SettingValues {
  private final Document document;
  private final ImmutableMap<SettingDefinition, Object> values;

  private SettingValues(Document document, ImmutableMap<SettingDefinition, Object> values) {
    this.document = document;
    this.values = values;
  }

  /**
   * Reads all settings of a file and fills in the defaults.
   *
   * @param document the settings file
   * @param folder the folder against which relative paths are resolved
   * @param definitions all settings that the file may contain
   * @throws DocumentException with all problems: unknown keys, missing settings, invalid values
   */
  static SettingValues read(
      Document document, Path folder, ImmutableList<SettingDefinition> definitions)
      throws DocumentException {
    List<DocumentProblem> problems = new ArrayList<>(unknownKeys(document, definitions));
    Map<SettingDefinition, Object> values = new HashMap<>();
    for (SettingDefinition definition : definitions) {
      readSetting(document, folder, definition, values, problems);
    }
    if (!problems.isEmpty()) {
      throw new DocumentException(ImmutableList.copyOf(problems));
    }
    return new SettingValues(document, ImmutableMap.copyOf(values));
  }

  private static ImmutableList<DocumentProblem> unknownKeys(
      Document document, ImmutableList<SettingDefinition> definitions) {
    List<String> knownKeys = definitions.stream().map(SettingDefinition::key).toList();
    return document.root().properties().stream()
        .map(Map.Entry::getKey)
        .filter(key -> !knownKeys.contains(key))
        .map(key -> document.problem(key, "an unknown key", expectedKey(key, knownKeys)))
        .collect(ImmutableList.toImmutableList());
  }

  private static String expectedKey(String key, List<String> knownKeys) {
    return knownKeys.stream()
        .filter(candidate -> candidate.equalsIgnoreCase(key))
        .findFirst()
        .map(candidate -> "the key " + candidate)
        .orElseGet(() -> "one of " + knownKeys.stream().sorted().collect(Collectors.joining(", ")));
  }

  private static void readSetting(
      Document document,
      Path folder,
      SettingDefinition definition,
      Map<SettingDefinition, Object> values,
      List<DocumentProblem> problems) {
    JsonNode node = document.root().path(definition.key());
    if (node.isMissingNode()) {
      definition.defaultNumber().ifPresent(number -> values.put(definition, number));
      if (definition.presence() == SettingDefinition.Presence.REQUIRED) {
        problems.add(document.problem(definition.key(), "nothing", definition.expected()));
      }
      return;
    }
    try {
      values.put(definition, definition.type().read(node, definition, folder));
    } catch (UnacceptableValueException unacceptable) {
      problems.add(
          document.problem(definition.key(), unacceptable.found(), unacceptable.expected()));
    }
  }

  /** Returns the value of a setting of type {@link SettingType#NAME}. */
  String name(SettingDefinition definition) {
    return (String) requiredValue(definition);
  }

  /** Returns the value of a setting of type {@link SettingType#WHOLE_NUMBER}. */
  long number(SettingDefinition definition) {
    return (Long) requiredValue(definition);
  }

  /** Returns the value of a setting of type {@link SettingType#PATH}, already resolved. */
  Path path(SettingDefinition definition) {
    return (Path) requiredValue(definition);
  }

  /** Returns the value of a required address setting. */
  InetSocketAddress address(SettingDefinition definition) {
    return (InetSocketAddress) requiredValue(definition);
  }

  /** Returns the value of an optional address setting; empty if the file does not contain it. */
  Optional<InetSocketAddress> optionalAddress(SettingDefinition definition) {
    return Optional.ofNullable((InetSocketAddress) values.get(definition));
  }

  /** Returns addresses by process; none if the file does not contain the setting. */
  @SuppressWarnings("unchecked") // SettingType.ADDRESSES builds exactly this map.
  ImmutableMap<ProcessId, InetSocketAddress> addresses(SettingDefinition definition) {
    Object value = values.get(definition);
    return value == null ? ImmutableMap.of() : (ImmutableMap<ProcessId, InetSocketAddress>) value;
  }

  /** Returns a problem with the value of a setting, for checks that compare several settings. */
  DocumentProblem problem(SettingDefinition definition, String expected) {
    String found = String.valueOf(values.get(definition));
    return document.problem(definition.key(), found, expected);
  }

  private Object requiredValue(SettingDefinition definition) {
    Object value = values.get(definition);
    if (value == null) {
      throw new IllegalArgumentException("no value for the setting " + definition.key());
    }
    return value;
  }
}
