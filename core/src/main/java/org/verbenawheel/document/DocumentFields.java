package org.verbenawheel.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.base.Ascii;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Reads the keys of one map of a document and collects all problems, to report them together. A key
 * that was never read counts as unknown. Not thread-safe.
 *
 * <p>After a problem, a method returns an arbitrary value of its type. Call {@link #throwIfAny}
 * before using any value.
 */
public final class DocumentFields {
  private final Document document;
  private final String prefix;
  private final JsonNode map;
  private final List<DocumentProblem> problems;
  private final Set<String> readKeys = new TreeSet<>();

  private DocumentFields(
      Document document, String prefix, JsonNode map, List<DocumentProblem> problems) {
    this.document = document;
    this.prefix = prefix;
    this.map = map;
    this.problems = problems;
  }

  /** Returns the fields of the top level of a document. */
  public static DocumentFields of(Document document) {
    return new DocumentFields(document, "", document.root(), new ArrayList<>());
  }

  /** Returns whether the map has a key, which then counts as known. */
  public boolean has(String key) {
    readKeys.add(key);
    return map.has(key);
  }

  /** Reads a required text. */
  public String text(String key) {
    return read(key, "", "a text", JsonNode::isTextual, JsonNode::textValue);
  }

  /**
   * Reads a required text as a name.
   *
   * @param key the key
   * @param parse converts the text; throws {@link IllegalArgumentException} if it is no valid name
   * @param substitute the value to return after a problem
   */
  public <T> T name(String key, Function<String, T> parse, T substitute) {
    String text = text(key);
    return text.isEmpty() ? substitute : nameOrSubstitute(key, text, parse, substitute);
  }

  private <T> T nameOrSubstitute(String key, String text, Function<String, T> parse, T substitute) {
    try {
      return parse.apply(text);
    } catch (IllegalArgumentException invalidName) {
      add(key, text, "a name of 1 to 128 letters, digits, . _ : -");
      return substitute;
    }
  }

  /**
   * Reads a 32-bit whole number.
   *
   * @param key the key
   * @param defaultValue the value if the key is absent; null if it is required
   */
  public int wholeNumber(String key, @Nullable Integer defaultValue) {
    return read(
        key,
        defaultValue,
        0,
        "a whole number",
        node -> node.isIntegralNumber() && node.canConvertToInt(),
        JsonNode::intValue);
  }

  /**
   * Reads a 64-bit whole number.
   *
   * @param key the key
   * @param defaultValue the value if the key is absent; null if it is required
   */
  public long longNumber(String key, @Nullable Long defaultValue) {
    return read(
        key,
        defaultValue,
        0L,
        "a whole number",
        node -> node.isIntegralNumber() && node.canConvertToLong(),
        JsonNode::longValue);
  }

  /**
   * Reads a number with or without a fraction.
   *
   * @param key the key
   * @param defaultValue the value if the key is absent; null if it is required
   */
  public double number(String key, @Nullable Double defaultValue) {
    return read(
        key,
        defaultValue,
        0.0,
        "a number",
        node -> node.isNumber() && Double.isFinite(node.doubleValue()),
        JsonNode::doubleValue);
  }

  /**
   * Reads a constant of an enum, ignoring case.
   *
   * @param key the key
   * @param kind the enum
   * @param defaultValue the value if the key is absent; null if it is required
   */
  public <E extends Enum<E>> E choice(String key, Class<E> kind, @Nullable E defaultValue) {
    E[] constants = kind.getEnumConstants();
    String expected = "one of " + Joiner.on(", ").join(constants);
    return read(
        key,
        defaultValue,
        constants[0],
        expected,
        node ->
            node.isTextual()
                && Arrays.stream(constants).anyMatch(c -> matchesIgnoringCase(c, node)),
        node ->
            Arrays.stream(constants)
                .filter(c -> matchesIgnoringCase(c, node))
                .findFirst()
                .orElseThrow());
  }

  private static boolean matchesIgnoringCase(Enum<?> constant, JsonNode node) {
    return Ascii.equalsIgnoreCase(constant.name(), node.textValue());
  }

  /** Reads a required list of texts. */
  public ImmutableList<String> texts(String key) {
    return read(
        key,
        ImmutableList.of(),
        "a list of texts",
        node -> node.isArray() && allTextual(node),
        DocumentFields::textsOf);
  }

  private static boolean allTextual(JsonNode list) {
    for (JsonNode element : list) {
      if (!element.isTextual()) {
        return false;
      }
    }
    return true;
  }

  private static ImmutableList<String> textsOf(JsonNode list) {
    ImmutableList.Builder<String> texts = ImmutableList.builder();
    list.forEach(element -> texts.add(element.textValue()));
    return texts.build();
  }

  /** Reads a required map and returns its fields. */
  public DocumentFields map(String key) {
    JsonNode child = mapNode(key);
    return new DocumentFields(document, path(key), child, problems);
  }

  /**
   * Reads a required map with maps as values.
   *
   * @return the fields of each inner map by its key, in the order of the document
   */
  public ImmutableMap<String, DocumentFields> maps(String key) {
    ImmutableMap.Builder<String, DocumentFields> fields = ImmutableMap.builder();
    DocumentFields children = map(key);
    for (Map.Entry<String, JsonNode> child : children.map.properties()) {
      fields.put(child.getKey(), children.map(child.getKey()));
    }
    return fields.buildOrThrow();
  }

  private JsonNode mapNode(String key) {
    JsonNode empty = JsonNodeFactory.instance.objectNode();
    return read(key, empty, "a map", JsonNode::isObject, node -> node);
  }

  /**
   * Adds a problem at a key of this map.
   *
   * @param key the key
   * @param found the value or text in the document
   * @param expected a description of the acceptable values
   */
  public void add(String key, String found, String expected) {
    problems.add(document.problem(path(key), found, expected));
  }

  /** Returns whether no problem was found at a key yet, so its value can be checked further. */
  public boolean isSound(String key) {
    String path = path(key);
    return problems.stream().noneMatch(problem -> problem.key().equals(path));
  }

  /** Adds a problem for each key that was never read. */
  public void refuseUnknownKeys() {
    for (Map.Entry<String, JsonNode> entry : map.properties()) {
      if (!readKeys.contains(entry.getKey())) {
        add(entry.getKey(), "an unknown key", "one of " + Joiner.on(", ").join(readKeys));
      }
    }
  }

  /**
   * Throws if the document has a problem.
   *
   * @throws DocumentException with all problems of all maps of the document
   */
  public void throwIfAny() throws DocumentException {
    if (!problems.isEmpty()) {
      throw new DocumentException(ImmutableList.copyOf(problems));
    }
  }

  private <T> T read(
      String key,
      T substitute,
      String expected,
      Predicate<JsonNode> accepts,
      Function<JsonNode, T> convert) {
    return read(key, null, substitute, expected, accepts, convert);
  }

  private <T> T read(
      String key,
      @Nullable T defaultValue,
      T substitute,
      String expected,
      Predicate<JsonNode> accepts,
      Function<JsonNode, T> convert) {
    readKeys.add(key);
    JsonNode node = map.path(key);
    if (node.isMissingNode() && defaultValue != null) {
      return defaultValue;
    }
    if (!accepts.test(node)) {
      add(key, node.isMissingNode() ? "nothing" : node.toString(), expected);
      return substitute;
    }
    return convert.apply(node);
  }

  private String path(String key) {
    return prefix.isEmpty() ? key : prefix + "." + key;
  }
}
