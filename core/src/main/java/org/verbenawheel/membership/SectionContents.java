package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.identity.EndpointId;

/**
 * The endpoints of one home entry, with digests that are updated incrementally: one of all
 * endpoints and one for each of {@link #BUCKETS} buckets. With these, two entries find the buckets
 * where their copies differ without sending all endpoints.
 */
final class SectionContents {
  /** The number of buckets that endpoints are hashed into; must be the same at all entries. */
  static final int BUCKETS = 32;

  private final Map<EndpointId, HeldEndpoint> endpoints = new HashMap<>();
  private final long[] bucketDigests = new long[BUCKETS];

  Collection<HeldEndpoint> endpoints() {
    return endpoints.values();
  }

  Optional<HeldEndpoint> find(EndpointId id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  int size() {
    return endpoints.size();
  }

  void put(HeldEndpoint held) {
    remove(held.id());
    endpoints.put(held.id(), held);
    bucketDigests[bucketOf(held.id())] ^= held.fingerprint();
  }

  void remove(EndpointId id) {
    HeldEndpoint removed = endpoints.remove(id);
    if (removed != null) {
      bucketDigests[bucketOf(id)] ^= removed.fingerprint();
    }
  }

  /** Returns the digest of all endpoints; zero if there are none. */
  long digest() {
    long digest = 0;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      // Without the rotation, an endpoint in the wrong bucket would not change the digest.
      digest ^= Long.rotateLeft(bucketDigests[bucket], bucket);
    }
    return digest;
  }

  ImmutableList<Long> bucketDigests() {
    ImmutableList.Builder<Long> digests = ImmutableList.builder();
    for (long digest : bucketDigests) {
      digests.add(digest);
    }
    return digests.build();
  }

  /**
   * Returns the buckets whose digest differs from that of a peer's copy.
   *
   * @param peerDigests the digests of the peer's copy; if empty, all non-empty buckets differ
   */
  ImmutableMap<Integer, ImmutableList<HeldEndpoint>> bucketsThatDiffer(
      ImmutableList<Long> peerDigests) {
    Map<Integer, ImmutableList.Builder<HeldEndpoint>> differing = new HashMap<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      long peerDigest = bucket < peerDigests.size() ? peerDigests.get(bucket) : 0;
      if (peerDigest != bucketDigests[bucket]) {
        differing.put(bucket, ImmutableList.builder());
      }
    }
    for (HeldEndpoint held : endpoints.values()) {
      Optional.ofNullable(differing.get(bucketOf(held.id()))).ifPresent(list -> list.add(held));
    }
    ImmutableMap.Builder<Integer, ImmutableList<HeldEndpoint>> contents = ImmutableMap.builder();
    differing.forEach((bucket, list) -> contents.put(bucket, list.build()));
    return contents.buildOrThrow();
  }

  /** Replaces the contents of one bucket. */
  void replaceBucket(int bucket, ImmutableList<HeldEndpoint> contents) {
    ImmutableList<EndpointId> old =
        endpoints.keySet().stream()
            .filter(id -> bucketOf(id) == bucket)
            .collect(ImmutableList.toImmutableList());
    old.forEach(this::remove);
    contents.forEach(this::put);
  }

  private static int bucketOf(EndpointId id) {
    int hash = Hashing.murmur3_32_fixed().hashString(id.value(), StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, BUCKETS);
  }
}
