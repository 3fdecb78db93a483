package org.verbenawheel.http;

/**
 * The process that answered last at an address.
 *
 * @param identity its identity
 * @param firstAt when its first answer arrived, as in {@link System#nanoTime()}
 */
record ServerSighting(String identity, long firstAt) {
  boolean isOf(String other) {
    return identity.equals(other);
  }
}
