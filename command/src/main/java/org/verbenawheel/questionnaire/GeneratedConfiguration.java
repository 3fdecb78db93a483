package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.configuration.Configuration;

/**
 * A configuration generated from answers.
 *
 * @param configuration the configuration
 * @param numbers the reason for each derived value, in the order of the configuration
 */
public record GeneratedConfiguration(
    Configuration configuration, ImmutableList<DerivedNumber> numbers) {}
