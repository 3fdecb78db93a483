package org.verbenawheel.settings;

import com.google.common.collect.Range;
import java.util.Optional;

/**
 * Defines one setting: its key, type, default, accepted range and documentation.
 *
 * @param key the key in the settings file; the key of a number includes the unit
 * @param type the type of the value
 * @param presence whether every settings file must contain the setting
 * @param defaultNumber the value of a number that the file does not contain
 * @param range the accepted numbers; unbounded for a setting that is not a number
 * @param description the meaning of the setting, for the reference page
 */
public record SettingDefinition(
    String key,
    SettingType type,
    Presence presence,
    Optional<Long> defaultNumber,
    Range<Long> range,
    String description) {

  /** Whether every settings file must contain a setting. */
  public enum Presence {
    /** The process does not start without it. */
    REQUIRED,
    /** The settings file may omit it. */
    OPTIONAL
  }

  /**
   * Defines a setting that every settings file must contain.
   *
   * @param key the key in the settings file
   * @param type the type of the value
   * @param description the meaning of the setting
   */
  public static SettingDefinition required(String key, SettingType type, String description) {
    return new SettingDefinition(
        key, type, Presence.REQUIRED, Optional.empty(), Range.all(), description);
  }

  /**
   * Defines a setting without default that a settings file may omit.
   *
   * @param key the key in the settings file
   * @param type the type of the value
   * @param description the meaning of the setting, and of omitting it
   */
  public static SettingDefinition optional(String key, SettingType type, String description) {
    return new SettingDefinition(
        key, type, Presence.OPTIONAL, Optional.empty(), Range.all(), description);
  }

  /**
   * Defines an optional whole number with a default.
   *
   * @param key the key in the settings file, including the unit
   * @param defaultNumber the value if the file does not contain the setting
   * @param minimum the smallest number accepted
   * @param maximum the largest number accepted
   * @param description the meaning of the setting
   */
  public static SettingDefinition number(
      String key, long defaultNumber, long minimum, long maximum, String description) {
    return new SettingDefinition(
        key,
        SettingType.WHOLE_NUMBER,
        Presence.OPTIONAL,
        Optional.of(defaultNumber),
        Range.closed(minimum, maximum),
        description);
  }

  /** Returns a description of the accepted values, for error messages and the reference page. */
  public String expected() {
    if (type != SettingType.WHOLE_NUMBER) {
      return type.expected();
    }
    return "a whole number from " + range.lowerEndpoint() + " to " + range.upperEndpoint();
  }
}
