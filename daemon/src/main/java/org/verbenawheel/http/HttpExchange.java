package org.verbenawheel.http;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * One request.
 *
 * @param method such as {@code POST}
 * @param path the path and query
 * @param headers headers besides those of the transport
 * @param body the JSON body; empty for none
 * @param timeout how long to wait for the whole answer, the wait for a connection included
 */
public record HttpExchange(
    String method,
    String path,
    ImmutableMap<String, String> headers,
    String body,
    Duration timeout) {}
