package org.verbenawheel.settings;

import com.google.common.collect.Range;
import java.util.Optional;

/**
 * Defines one setting: how it is read, what stands for it when it is absent, and what it means.
 *
 * @param key the key in the file; a number's unit is part of it
 * @param type the form of its value
 * @param presence whether a file must give it
 * @param defaultNumber what a number is when the file does not give it
 * @param range the numbers that are accepted; all for a setting that is not a number
 * @param description what it means, for the reference page
 */
public record SettingDefinition(
    String key,
    SettingType type,
    Presence presence,
    Optional<Long> defaultNumber,
    Range<Long> range,
    String description) {

  /** Says whether a file must give a setting. */
  public enum Presence {
    /** The process does not start without it. */
    REQUIRED,
    /** It may be left out. */
    OPTIONAL
  }

  /**
   * Defines a setting that each file must give.
   *
   * @param key the key in the file
   * @param type the form of its value
   * @param description what it means
   */
  public static SettingDefinition required(String key, SettingType type, String description) {
    return new SettingDefinition(
        key, type, Presence.REQUIRED, Optional.empty(), Range.all(), description);
  }

  /**
   * Defines a setting that a file may leave out.
   *
   * @param key the key in the file
   * @param type the form of its value
   * @param description what it means, also when it is left out
   */
  public static SettingDefinition optional(String key, SettingType type, String description) {
    return new SettingDefinition(
        key, type, Presence.OPTIONAL, Optional.empty(), Range.all(), description);
  }

  /**
   * Defines a number with a default.
   *
   * @param key the key in the file, with the unit in it
   * @param defaultNumber what it is when the file does not give it
   * @param lowest the lowest number accepted
   * @param highest the highest number accepted
   * @param description what it means
   */
  public static SettingDefinition number(
      String key, long defaultNumber, long lowest, long highest, String description) {
    return new SettingDefinition(
        key,
        SettingType.WHOLE_NUMBER,
        Presence.OPTIONAL,
        Optional.of(defaultNumber),
        Range.closed(lowest, highest),
        description);
  }

  /** Returns what an acceptable value looks like. */
  public String expected() {
    if (type != SettingType.WHOLE_NUMBER) {
      return type.expected();
    }
    return "a whole number from " + range.lowerEndpoint() + " to " + range.upperEndpoint();
  }
}
