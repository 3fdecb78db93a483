package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON for the stand-ins. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      List<String> fields = new ArrayList<>();
      map.forEach((name, field) -> fields.add(write(name) + ":" + write(field)));
      return "{" + String.join(",", fields) + "}";
    }
    if (value instanceof Iterable<?> list) {
      List<String> items = new ArrayList<>();
      list.forEach(item -> items.add(write(item)));
      return "[" + String.join(",", items) + "]";
    }
    if (value instanceof String string) {
      return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
    return String.valueOf(value);
  }

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      return objectValue();
    } else if (c == '[') {
      return listValue();
    } else if (c == '"') {
      return stringValue();
    }
    int begin = at;
    while (at < text.length() && "+-.0123456789eEtrufalsn".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String word = text.substring(begin, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> "";
      default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> map = new LinkedHashMap<>();
    at++;
    for (skip(); text.charAt(at) != '}'; skip()) {
      String name = stringValue();
      skip();
      at++;
      map.put(name, value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
      }
    }
    at++;
    return map;
  }

  private List<Object> listValue() {
    List<Object> list = new ArrayList<>();
    at++;
    for (skip(); text.charAt(at) != ']'; skip()) {
      list.add(value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
      }
    }
    at++;
    return list;
  }

  private String stringValue() {
    StringBuilder result = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
          at += 4;
        } else if (c == 'n') {
          c = '\n';
        } else if (c == 't') {
          c = '\t';
        }
      }
      result.append(c);
    }
    at++;
    return result.toString();
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
