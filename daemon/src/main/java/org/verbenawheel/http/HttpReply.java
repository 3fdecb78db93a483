package org.verbenawheel.http;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status code
 * @param body the body; empty if there is none
 */
public record HttpReply(int status, String body) {}
