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

/** Holds the values of one settings file, checked against the definitions. Immutable. */
final class SettingValues {
  private final Document document;
  private final ImmutableMap<SettingDefinition, Object> values;

  private SettingValues(Document document, ImmutableMap<SettingDefinition, Object> values) {
    this.document = document;
    this.values = values;
  }

  /**
   * Reads every defined setting of a document.
   *
   * @param document the settings file
   * @param folder where relative paths start
   * @param definitions all settings that the file may give
   * @throws DocumentException with every problem, if there is one
   */
  static SettingValues read(
      Document document, Path folder, ImmutableList<SettingDefinition> definitions)
      throws DocumentException {
    List<DocumentProblem> problems = new ArrayList<>(unknownKeys(document, definitions));
    Map<SettingDefinition, Object> values = new HashMap<>();
    for (SettingDefinition definition : definitions) {
      readOne(document, folder, definition, values, problems);
    }
    if (!problems.isEmpty()) {
      throw new DocumentException(ImmutableList.copyOf(problems));
    }
    return new SettingValues(document, ImmutableMap.copyOf(values));
  }

  private static ImmutableList<DocumentProblem> unknownKeys(
      Document document, ImmutableList<SettingDefinition> definitions) {
    List<String> known = definitions.stream().map(SettingDefinition::key).toList();
    return document.root().properties().stream()
        .map(Map.Entry::getKey)
        .filter(key -> !known.contains(key))
        .map(key -> document.problem(key, "an unknown key", expectedKey(key, known)))
        .collect(ImmutableList.toImmutableList());
  }

  private static String expectedKey(String key, List<String> known) {
    return known.stream()
        .filter(candidate -> candidate.equalsIgnoreCase(key))
        .findFirst()
        .map(candidate -> "the key " + candidate)
        .orElseGet(() -> "one of " + known.stream().sorted().collect(Collectors.joining(", ")));
  }

  private static void readOne(
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

  /** Returns a name. */
  String name(SettingDefinition definition) {
    return (String) required(definition);
  }

  /** Returns a number. */
  long number(SettingDefinition definition) {
    return (Long) required(definition);
  }

  /** Returns a path. */
  Path path(SettingDefinition definition) {
    return (Path) required(definition);
  }

  /** Returns an address. */
  InetSocketAddress address(SettingDefinition definition) {
    return (InetSocketAddress) required(definition);
  }

  /** Returns an address that may be left out. */
  Optional<InetSocketAddress> optionalAddress(SettingDefinition definition) {
    return Optional.ofNullable((InetSocketAddress) values.get(definition));
  }

  /** Returns addresses by process; none if the setting was left out. */
  @SuppressWarnings("unchecked") // SettingType.ADDRESSES builds exactly this map.
  ImmutableMap<ProcessId, InetSocketAddress> addresses(SettingDefinition definition) {
    Object value = values.get(definition);
    return value == null ? ImmutableMap.of() : (ImmutableMap<ProcessId, InetSocketAddress>) value;
  }

  /** Makes a problem at a setting of this file. */
  DocumentProblem problem(SettingDefinition definition, String expected) {
    String found = String.valueOf(values.get(definition));
    return document.problem(definition.key(), found, expected);
  }

  private Object required(SettingDefinition definition) {
    Object value = values.get(definition);
    if (value == null) {
      throw new IllegalArgumentException("not a setting of this file: " + definition.key());
    }
    return value;
  }
}
