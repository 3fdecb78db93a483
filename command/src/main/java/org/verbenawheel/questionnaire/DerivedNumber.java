package org.verbenawheel.questionnaire;

/**
 * One value of a generated configuration with the reason for it.
 *
 * @param key where it stands in the configuration
 * @param value the value
 * @param reason how it follows from the answers
 */
public record DerivedNumber(String key, String value, String reason) {}
