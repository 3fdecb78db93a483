package org.verbenawheel.daemon;

import org.verbenawheel.request.RunVerdict;

/**
 * The JSON body of an error at an operator or endpoint interface.
 *
 * @param error what was wrong
 * @param found what was sent
 * @param expected what was expected
 * @param fix what to try
 * @param verdict whether the command may have run
 */
public record ErrorBody(
    String error, String found, String expected, String fix, RunVerdict verdict) {}
