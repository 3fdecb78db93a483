package org.verbenawheel.questionnaire;

/**
 * One value of a generated configuration with the reason for it.
 *
 * @param key the path of the value in the configuration
 * @param value the value
 * @param reason how the value follows from the answers
 */
public record DerivedNumber(String key, String value, String reason) {}
