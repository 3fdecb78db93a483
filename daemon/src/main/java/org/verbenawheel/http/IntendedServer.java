package org.verbenawheel.http;

import java.util.Optional;
import java.util.function.Function;

/**
 * The server process that a request is meant for, and the question that tells which process is at
 * the other end of a connection. Another process may listen at the same address later, but a
 * connection ends with the process that accepted it, so each connection is asked once.
 *
 * @param identity the identity of the process
 * @param questionPath the path of the question, which is sent like the request and must change
 *     nothing that matters to any process
 * @param questionBody the JSON body of the question
 * @param identityReader reads the identity from the answer; empty if it names none
 */
public record IntendedServer(
    String identity,
    String questionPath,
    String questionBody,
    Function<HttpReply, Optional<String>> identityReader) {

  boolean isSame(IntendedServer other) {
    return identity.equals(other.identity);
  }
}
