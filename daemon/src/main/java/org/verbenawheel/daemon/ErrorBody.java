package org.verbenawheel.daemon;

import org.verbenawheel.request.RunVerdict;

/**
 * The JSON body of an error response to an operator or an endpoint.
 *
 * @param error what is wrong with the request or the process
 * @param found the value that was sent or the state that was found
 * @param expected what would be accepted
 * @param fix what the operator or endpoint can do
 * @param verdict whether the request may have run
 */
public record ErrorBody(
    String error, String found, String expected, String fix, RunVerdict verdict) {}
