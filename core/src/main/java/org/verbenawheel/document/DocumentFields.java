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
 * Reads the keys of one map of a document and collects what is wrong with them, so that a person
 * gets every problem at once. A key that nobody read is unknown. Not thread-safe.
 *
 * <p>After a problem a method returns some value of its type; it must not be used before {@link
 * #throwIfAny}.
 */
public final class DocumentFields {
  private final Document document;
  private final String prefix;
  private final JsonNode map;
  private final List<DocumentProblem> problems;
  private final Set<String> known = new TreeSet<>();

  private DocumentFields(
      Document document, String prefix, JsonNode map, List<DocumentProblem> problems) {
    this.document = document;
    this.prefix = prefix;
    this.map = map;
    this.problems = problems;
  }

  /**
   * Returns the top level of a document.
   *
   * @param document the document
   */
  public static DocumentFields of(Document document) {
    return new DocumentFields(document, "", document.root(), new ArrayList<>());
  }

  /**
   * Returns whether a key is there.
   *
   * @param key the key
   */
  public boolean has(String key) {
    known.add(key);
    return map.has(key);
  }

  /**
   * Reads a text that must be there.
   *
   * @param key the key
   */
  public String text(String key) {
    return read(key, "", "a text", JsonNode::isTextual, JsonNode::textValue);
  }

  /**
   * Reads a text that must be there as a name of some kind.
   *
   * @param key the key
   * @param make makes the name; throws {@link IllegalArgumentException} for one that is not
   *     acceptable
   * @param substitute what stands for it after a problem
   */
  public <T> T name(String key, Function<String, T> make, T substitute) {
    String text = text(key);
    return text.isEmpty() ? substitute : makeName(key, text, make, substitute);
  }

  private <T> T makeName(String key, String text, Function<String, T> make, T substitute) {
    try {
      return make.apply(text);
    } catch (IllegalArgumentException notAName) {
      add(key, text, "a name of 1 to 128 letters, digits, . _ : -");
      return substitute;
    }
  }

  /**
   * Reads a whole number.
   *
   * @param key the key
   * @param otherwise what it is if the key is absent; null if it must be there
   */
  public int wholeNumber(String key, @Nullable Integer otherwise) {
    return read(
        key,
        otherwise,
        0,
        "a whole number",
        node -> node.isIntegralNumber() && node.canConvertToInt(),
        JsonNode::intValue);
  }

  /**
   * Reads a whole number of 64 bits.
   *
   * @param key the key
   * @param otherwise what it is if the key is absent; null if it must be there
   */
  public long longNumber(String key, @Nullable Long otherwise) {
    return read(
        key,
        otherwise,
        0L,
        "a whole number",
        node -> node.isIntegralNumber() && node.canConvertToLong(),
        JsonNode::longValue);
  }

  /**
   * Reads a number with or without a fraction.
   *
   * @param key the key
   * @param otherwise what it is if the key is absent; null if it must be there
   */
  public double number(String key, @Nullable Double otherwise) {
    return read(
        key,
        otherwise,
        0.0,
        "a number",
        node -> node.isNumber() && Double.isFinite(node.doubleValue()),
        JsonNode::doubleValue);
  }

  /**
   * Reads one of the constants of an enum, in any case.
   *
   * @param key the key
   * @param kind the enum
   * @param otherwise what it is if the key is absent; null if it must be there
   */
  public <E extends Enum<E>> E choice(String key, Class<E> kind, @Nullable E otherwise) {
    E[] constants = kind.getEnumConstants();
    String expected = "one of " + Joiner.on(", ").join(constants);
    return read(
        key,
        otherwise,
        constants[0],
        expected,
        node -> node.isTextual() && Arrays.stream(constants).anyMatch(c -> isNamed(c, node)),
        node -> Arrays.stream(constants).filter(c -> isNamed(c, node)).findFirst().orElseThrow());
  }

  private static boolean isNamed(Enum<?> constant, JsonNode node) {
    return Ascii.equalsIgnoreCase(constant.name(), node.textValue());
  }

  /**
   * Reads a list of texts that must be there.
   *
   * @param key the key
   */
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

  /**
   * Reads a map that must be there.
   *
   * @param key the key
   */
  public DocumentFields map(String key) {
    JsonNode child = mapNode(key);
    return new DocumentFields(document, path(key), child, problems);
  }

  /**
   * Reads a map whose values are maps; it must be there.
   *
   * @param key the key
   * @return the fields of each value by its key, in the order of the document
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
   * @param found what stands there
   * @param expected what should stand there
   */
  public void add(String key, String found, String expected) {
    problems.add(document.problem(path(key), found, expected));
  }

  /**
   * Returns whether a key has no problem so far, so that a further check of its value makes sense.
   *
   * @param key the key
   */
  public boolean isSound(String key) {
    String path = path(key);
    return problems.stream().noneMatch(problem -> problem.key().equals(path));
  }

  /** Adds a problem for each key that nobody read. */
  public void refuseUnknownKeys() {
    for (Map.Entry<String, JsonNode> entry : map.properties()) {
      if (!known.contains(entry.getKey())) {
        add(entry.getKey(), "an unknown key", "one of " + Joiner.on(", ").join(known));
      }
    }
  }

  /**
   * Ends the reading of the document.
   *
   * @throws DocumentException with every problem of every map of the document, if there is one
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
      @Nullable T otherwise,
      T substitute,
      String expected,
      Predicate<JsonNode> accepts,
      Function<JsonNode, T> convert) {
    known.add(key);
    JsonNode node = map.path(key);
    if (node.isMissingNode() && otherwise != null) {
      return otherwise;
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
