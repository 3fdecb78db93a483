package org.verbenawheel.membership;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.Comparator;
import org.verbenawheel.identity.EndpointId;

/**
 * An endpoint as its home entry sends it to the other entries.
 *
 * @param endpoint the endpoint's description of itself
 * @param sequence the number of the announcement with which it joined at this home entry or last
 *     changed; decides which copy is newer if two entries hold the endpoint
 */
record HeldEndpoint(EndpointRecord endpoint, long sequence) {
  /** Orders by incarnation, then by sequence; the newest announcement comes last. */
  static final Comparator<HeldEndpoint> OLDEST_FIRST =
      Comparator.comparingLong((HeldEndpoint held) -> held.endpoint().incarnation())
          .thenComparingLong(HeldEndpoint::sequence);

  EndpointId id() {
    return endpoint.id();
  }

  /** Returns a hash of all fields that is the same in every process, for section digests. */
  long fingerprint() {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    putText(hasher, endpoint.id().value());
    putText(hasher, endpoint.service().value());
    putText(hasher, endpoint.host().value());
    putText(hasher, endpoint.rack().value());
    putText(hasher, endpoint.availabilityZone().value());
    putText(hasher, endpoint.address());
    return hasher
        .putInt(endpoint.slots())
        .putInt(endpoint.connections())
        .putLong(endpoint.incarnation())
        .putLong(sequence)
        .hash()
        .asLong();
  }

  private static void putText(Hasher hasher, String text) {
    hasher.putInt(text.length()).putString(text, UTF_8);
  }
}
