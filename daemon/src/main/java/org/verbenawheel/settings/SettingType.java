package org.verbenawheel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Range;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import org.verbenawheel.identity.Names;
import org.verbenawheel.identity.ProcessId;

/** The types of setting values; each constant parses and checks the values of its type. */
public enum SettingType {
  /** A name of letters, digits and {@code . _ : -}. */
  NAME("a name of 1 to 128 letters, digits, . _ : -") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      if (!value.isTextual()) {
        throw unacceptable(value);
      }
      try {
        return Names.requireName(definition.key(), value.textValue());
      } catch (IllegalArgumentException notAName) {
        throw unacceptable(value);
      }
    }
  },
  /** An address to listen on; with port 0 the operating system chooses a free port. */
  LISTEN_ADDRESS("an IP number and a port, such as 10.0.0.1:8080") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      return parseAddress(value, 0);
    }
  },
  /** The address of another process. */
  ADDRESS("an IP number and a port from 1 to 65535, such as 10.0.0.1:8080") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      return parseAddress(value, 1);
    }
  },
  /** The addresses of processes, by process name. */
  ADDRESSES("a map of process names to addresses, such as {entry-1: 10.0.0.1:8080}") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      if (!value.isObject() || value.isEmpty()) {
        throw unacceptable(value);
      }
      ImmutableMap.Builder<ProcessId, InetSocketAddress> addresses = ImmutableMap.builder();
      for (Map.Entry<String, JsonNode> entry : value.properties()) {
        addresses.put(
            parseProcess(entry.getKey()), (InetSocketAddress) parseAddress(entry.getValue(), 1));
      }
      return addresses.buildOrThrow();
    }
  },
  /** A file or folder; a relative path is resolved against the folder of the settings file. */
  PATH("a path; a relative one starts at the folder of the settings file") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      if (!value.isTextual() || value.textValue().isBlank()) {
        throw unacceptable(value);
      }
      try {
        return folder.resolve(value.textValue()).normalize();
      } catch (java.nio.file.InvalidPathException notAPath) {
        throw unacceptable(value);
      }
    }
  },
  /** A whole number within the definition's range. */
  WHOLE_NUMBER("a whole number") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      Range<Long> range = definition.range();
      boolean isWholeNumber = value.isIntegralNumber() && value.canConvertToLong();
      if (!isWholeNumber || !range.contains(value.longValue())) {
        throw new UnacceptableValueException(value.toString(), definition.expected());
      }
      return value.longValue();
    }
  };

  private static final int MAXIMUM_PORT = 65_535;

  private final String expected;

  SettingType(String expected) {
    this.expected = expected;
  }

  /** Returns a description of the accepted values, for error messages and the reference page. */
  public String expected() {
    return expected;
  }

  /**
   * Parses the value of a setting.
   *
   * @param value the node in the settings file
   * @param definition the setting, whose range limits a number
   * @param folder the folder of the settings file
   * @throws UnacceptableValueException if the value is not of this type or out of range
   */
  abstract Object read(JsonNode value, SettingDefinition definition, Path folder)
      throws UnacceptableValueException;

  Object parseAddress(JsonNode value, int minimumPort) throws UnacceptableValueException {
    if (!value.isTextual()) {
      throw unacceptable(value);
    }
    try {
      HostAndPort address = HostAndPort.fromString(value.textValue());
      if (!address.hasPort()
          || address.getPort() < minimumPort
          || address.getPort() > MAXIMUM_PORT) {
        throw unacceptable(value);
      }
      return new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort());
    } catch (IllegalArgumentException notAnAddress) {
      throw unacceptable(value);
    }
  }

  ProcessId parseProcess(String name) throws UnacceptableValueException {
    try {
      return new ProcessId(name);
    } catch (IllegalArgumentException notAName) {
      throw new UnacceptableValueException(name, expected);
    }
  }

  UnacceptableValueException unacceptable(JsonNode value) {
    return new UnacceptableValueException(value.toString(), expected);
  }
}
