package org.verbenawheel.document;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Reads a YAML or JSON document written by a person, with limits on its size, depth and number of
 * values.
 *
 * <p>Before a tree is built, a pass over the tokens refuses input that would exhaust memory or hide
 * a mistake: aliases, duplicate keys, long keys, deep nesting, a second document.
 */
public final class DocumentReader {
  /** The maximum size of a document in bytes. */
  public static final int MAXIMUM_DOCUMENT_BYTES = 1 << 20;

  /** The maximum nesting depth of maps and lists. */
  public static final int MAXIMUM_DEPTH = 8;

  private static final int MAXIMUM_TOKENS = 50_000;
  private static final int MAXIMUM_KEY_LENGTH = 128;
  private static final int MAXIMUM_PROBLEMS = 50;

  private static final ObjectMapper MAPPER = new ObjectMapper(boundedFactory());

  private DocumentReader() {}

  /**
   * Reads a document from a file.
   *
   * @throws DocumentException if the file cannot be read or is not a single valid document
   */
  public static Document readFile(Path file) throws DocumentException {
    try (InputStream input = Files.newInputStream(file)) {
      return read(file.toString(), input.readNBytes(MAXIMUM_DOCUMENT_BYTES + 1));
    } catch (IOException unreadable) {
      throw failure(
          new DocumentProblem(
              file.toString(), 0, "", unreadable.toString(), "a file that this process may read"));
    }
  }

  /**
   * Reads a document from bytes.
   *
   * @param source the origin of the bytes, for messages
   * @param bytes the document in UTF-8
   * @throws DocumentException if the bytes are not a single valid document
   */
  public static Document read(String source, byte[] bytes) throws DocumentException {
    if (bytes.length > MAXIMUM_DOCUMENT_BYTES) {
      throw failure(
          new DocumentProblem(
              source,
              0,
              "",
              "more than " + MAXIMUM_DOCUMENT_BYTES + " bytes",
              "a document of at most " + MAXIMUM_DOCUMENT_BYTES + " bytes"));
    }
    String text = new String(bytes, StandardCharsets.UTF_8);
    try {
      ImmutableMap<String, Integer> lines = new TokenScan(source).scan(text);
      JsonNode root = MAPPER.readTree(text);
      requireMap(source, root);
      return new Document(source, root, lines);
    } catch (JsonProcessingException malformed) {
      throw failure(malformedProblem(source, malformed));
    } catch (IOException | RuntimeException malformed) {
      throw failure(
          new DocumentProblem(
              source, 0, "", String.valueOf(malformed.getMessage()), "one YAML or JSON document"));
    }
  }

  private static void requireMap(String source, JsonNode root) throws DocumentException {
    if (!root.isObject()) {
      String found = root.isMissingNode() || root.isNull() ? "nothing" : root.toString();
      throw failure(new DocumentProblem(source, 0, "", found, "a map of keys to values"));
    }
  }

  private static DocumentProblem malformedProblem(
      String source, JsonProcessingException malformed) {
    int line = malformed.getLocation() == null ? 0 : malformed.getLocation().getLineNr();
    return new DocumentProblem(
        source,
        Math.max(line, 0),
        "",
        malformed.getOriginalMessage(),
        "YAML or JSON nested at most " + MAXIMUM_DEPTH + " levels deep");
  }

  private static DocumentException failure(DocumentProblem problem) {
    return new DocumentException(ImmutableList.of(problem));
  }

  private static YAMLFactory boundedFactory() {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAXIMUM_DOCUMENT_BYTES);
    options.setNestingDepthLimit(MAXIMUM_DEPTH);
    return YAMLFactory.builder().loaderOptions(options).build();
  }

  /** Checks the tokens of one document and records the line of each key. */
  private static final class TokenScan {
    private final String source;
    private final Map<String, Integer> lines = new LinkedHashMap<>();
    private final List<DocumentProblem> problems = new ArrayList<>();
    private int tokenCount;
    private int rootValueCount;

    private TokenScan(String source) {
      this.source = source;
    }

    private ImmutableMap<String, Integer> scan(String text) throws IOException, DocumentException {
      try (YAMLParser parser = (YAMLParser) MAPPER.getFactory().createParser(text)) {
        JsonToken token = parser.nextToken();
        while (token != null && problems.size() < MAXIMUM_PROBLEMS) {
          checkToken(parser, token);
          token = parser.nextToken();
        }
      }
      if (!problems.isEmpty()) {
        throw new DocumentException(ImmutableList.copyOf(problems));
      }
      return ImmutableMap.copyOf(lines);
    }

    private void checkToken(YAMLParser parser, JsonToken token)
        throws IOException, DocumentException {
      tokenCount++;
      if (tokenCount > MAXIMUM_TOKENS) {
        throw failure(
            problem(parser, "more than " + MAXIMUM_TOKENS + " values", "a smaller document"));
      }
      if (parser.isCurrentAlias()) {
        addProblem(
            parser, "the alias *" + parser.getText(), "the value itself: aliases are not read");
      }
      if (token == JsonToken.FIELD_NAME) {
        checkKey(parser);
      } else if (parser.getParsingContext().inRoot() && !token.isStructStart()) {
        checkRootValue(parser);
      }
    }

    private void checkKey(YAMLParser parser) throws IOException, DocumentException {
      if (parser.currentName().length() > MAXIMUM_KEY_LENGTH) {
        throw failure(
            problem(
                parser,
                "a key of " + parser.currentName().length() + " characters",
                "keys of at most " + MAXIMUM_KEY_LENGTH + " characters"));
      }
      String key = key(parser);
      Integer earlierLine = lines.putIfAbsent(key, line(parser));
      if (earlierLine != null) {
        addProblem(parser, "the key a second time, after line " + earlierLine, "each key once");
      }
    }

    private void checkRootValue(YAMLParser parser) {
      rootValueCount++;
      if (rootValueCount == 2) {
        addProblem(parser, "a second document", "one document");
      }
    }

    private void addProblem(YAMLParser parser, String found, String expected) {
      problems.add(problem(parser, found, expected));
    }

    private DocumentProblem problem(YAMLParser parser, String found, String expected) {
      return new DocumentProblem(source, line(parser), key(parser), found, expected);
    }

    private static int line(JsonParser parser) {
      return parser.currentTokenLocation().getLineNr();
    }

    private static String key(JsonParser parser) {
      String pointer = parser.getParsingContext().pathAsPointer().toString();
      return pointer.isEmpty() ? "" : pointer.substring(1).replace('/', '.');
    }
  }
}
