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

/** Reads the value of a setting, one constant for each form that a value may have. */
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
  /** An address to listen on; port 0 takes any free port. */
  LISTEN_ADDRESS("an IP number and a port, such as 10.0.0.1:8080") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      return readAddress(value, 0);
    }
  },
  /** The address of another process. */
  ADDRESS("an IP number and a port from 1 to 65535, such as 10.0.0.1:8080") {
    @Override
    Object read(JsonNode value, SettingDefinition definition, Path folder)
        throws UnacceptableValueException {
      return readAddress(value, 1);
    }
  },
  /** The addresses of other processes by the processes' names. */
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
            readProcess(entry.getKey()), (InetSocketAddress) readAddress(entry.getValue(), 1));
      }
      return addresses.buildOrThrow();
    }
  },
  /** A file or folder; a relative one starts at the folder of the settings file. */
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
      boolean isWhole = value.isIntegralNumber() && value.canConvertToLong();
      if (!isWhole || !range.contains(value.longValue())) {
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

  /** Returns what a value of this form looks like, for messages and the reference page. */
  public String expected() {
    return expected;
  }

  /**
   * Reads a value.
   *
   * @param value what stands in the file
   * @param definition the setting
   * @param folder the folder of the settings file
   * @throws UnacceptableValueException if the value does not have this form
   */
  abstract Object read(JsonNode value, SettingDefinition definition, Path folder)
      throws UnacceptableValueException;

  Object readAddress(JsonNode value, int lowestPort) throws UnacceptableValueException {
    if (!value.isTextual()) {
      throw unacceptable(value);
    }
    try {
      HostAndPort address = HostAndPort.fromString(value.textValue());
      if (!address.hasPort()
          || address.getPort() < lowestPort
          || address.getPort() > MAXIMUM_PORT) {
        throw unacceptable(value);
      }
      return new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort());
    } catch (IllegalArgumentException notAnAddress) {
      throw unacceptable(value);
    }
  }

  ProcessId readProcess(String name) throws UnacceptableValueException {
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
