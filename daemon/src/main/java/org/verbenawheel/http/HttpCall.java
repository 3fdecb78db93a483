package org.verbenawheel.http;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * An HTTP request to send.
 *
 * @param method the HTTP method, such as {@code POST}
 * @param path the path and query
 * @param headers headers besides {@code Host}, {@code Content-Type} and {@code Content-Length}
 * @param body the JSON body; empty for none
 * @param timeout how long to wait for the complete answer, including the wait for a connection
 */
public record HttpCall(
    String method,
    String path,
    ImmutableMap<String, String> headers,
    String body,
    Duration timeout) {}
