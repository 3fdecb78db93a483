package org.verbenawheel.questionnaire;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.configuration.Configuration;

/**
 * A configuration generated from answers.
 *
 * @param configuration the configuration
 * @param numbers the derived values with their reasons, in the order in which they were derived
 */
public record GeneratedConfiguration(
    Configuration configuration, ImmutableList<DerivedNumber> numbers) {}
