/**
 * Turns a new team's answers about its services into a configuration, with a reason for each
 * number.
 */
@NullMarked
package org.verbenawheel.questionnaire;

import org.jspecify.annotations.NullMarked;
