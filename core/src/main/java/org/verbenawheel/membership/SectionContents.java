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
 * The endpoints of one home entry with running digests: one of all, and one of each of {@link
 * #BUCKETS} buckets, so that two copies that differ find where without sending all.
 */
final class SectionContents {
  /** How many buckets the endpoints are spread over. */
  static final int BUCKETS = 32;

  private final Map<EndpointId, HeldEndpoint> endpoints = new HashMap<>();
  private final long[] bucketDigests = new long[BUCKETS];

  Collection<HeldEndpoint> all() {
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
      // The rotation keeps an endpoint in a wrong bucket from looking right.
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
   * Returns the buckets whose digest differs from another copy's; all that matter if it has none.
   */
  ImmutableMap<Integer, ImmutableList<HeldEndpoint>> bucketsThatDiffer(
      ImmutableList<Long> othersDigests) {
    Map<Integer, ImmutableList.Builder<HeldEndpoint>> differing = new HashMap<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      long othersDigest = bucket < othersDigests.size() ? othersDigests.get(bucket) : 0;
      if (othersDigest != bucketDigests[bucket]) {
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
