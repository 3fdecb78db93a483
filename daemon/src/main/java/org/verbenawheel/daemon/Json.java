package org.verbenawheel.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import java.io.IOException;
import org.verbenawheel.codec.MessageCodec;

/** Reads and writes the JSON bodies of the daemons' HTTP interfaces. */
public final class Json {
  private static final ObjectMapper MAPPER = MessageCodec.jsonMapper();

  private Json() {}

  /**
   * Serializes a value.
   *
   * @param value a record, map or list
   * @throws IllegalArgumentException if Jackson cannot serialize the value
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failed) {
      throw new IllegalArgumentException("cannot write as JSON: " + value.getClass(), failed);
    }
  }

  /**
   * Parses a body.
   *
   * @param text the body, JSON in UTF-8
   * @param type the record to read the body as
   * @throws MalformedBodyException if the body is not JSON or does not fit the record
   */
  public static <T> T read(byte[] text, Class<T> type) throws MalformedBodyException {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new MalformedBodyException("the body is empty; send JSON");
      }
      return value;
    } catch (JsonProcessingException malformed) {
      throw new MalformedBodyException(malformed.getOriginalMessage());
    } catch (IOException impossible) {
      throw new IllegalStateException("reading from memory failed", impossible);
    }
  }

  /**
   * Returns an HTTP response with a JSON body.
   *
   * @param status the HTTP status
   * @param value a record, map or list
   */
  public static MutableHttpResponse<?> respond(HttpStatus status, Object value) {
    return HttpResponse.status(status)
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(write(value));
  }
}
