package org.verbenawheel.http;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param body the body; empty if there is none
 */
public record HttpReply(int status, String body) {}
