package org.verbenawheel.queue;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link QueueIndex}, also against a search through all queues. */
final class QueueIndexTest {
  private static final ImmutableList<String> HOSTS = ImmutableList.of("a.example", "B.example");
  private static final ImmutableList<String> PARTS = ImmutableList.of("x/", "y/", "xy/", "x");

  @Test
  void requestGoesToTheQueueWithTheLongestMatchingPrefix() {
    QueueIndex queues = index(route("h", "/a/"), route("h", "/a/b/"), route("h", "/"));

    assertThat(queues.queueFor("h", "/a/b/17").map(QueueRoute::pathPrefix)).hasValue("/a/b/");
    assertThat(queues.queueFor("h", "/a/17").map(QueueRoute::pathPrefix)).hasValue("/a/");
    assertThat(queues.queueFor("h", "/17").map(QueueRoute::pathPrefix)).hasValue("/");
  }

  @Test
  void hostNamesMatchInAnyCase() {
    assertThat(index(route("H.Example", "/a/")).queueFor("h.eXAMPLE", "/a/1")).isPresent();
  }

  @Test
  void removedQueueIsNotFoundByItsAddress() {
    assertThat(QueueIndex.EMPTY.queueWithAddress("h/a/")).isEmpty();
    assertThat(index(route("h", "/a/")).queueWithAddress("h/a/")).isPresent();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void findsTheSameQueuesAsASearchThroughAll(long seed) {
    Random random = new Random(seed);
    List<QueueRoute> routes = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      QueueRoute added = route(HOSTS.get(random.nextInt(HOSTS.size())), path(random, 3));
      if (routes.stream().noneMatch(known -> known.address().equals(added.address()))) {
        routes.add(added);
      }
    }
    QueueIndex queues = index(routes.toArray(new QueueRoute[0]));
    for (String host : ImmutableSet.of("a.example", "A.example", "b.example", "c.example")) {
      for (int number = 0; number < 100; number++) {
        String path = path(random, 5);
        assertThat(queues.queueFor(host, path)).isEqualTo(search(routes, host, path));
      }
    }
  }

  private static Optional<QueueRoute> search(List<QueueRoute> routes, String host, String path) {
    return routes.stream()
        .filter(queue -> queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix()))
        .max(Comparator.comparingInt(queue -> queue.pathPrefix().length()));
  }

  private static String path(Random random, int maximumParts) {
    StringBuilder path = new StringBuilder("/");
    int parts = random.nextInt(maximumParts + 1);
    for (int part = 0; part < parts; part++) {
      path.append(PARTS.get(random.nextInt(PARTS.size())));
    }
    return path.toString();
  }

  private static QueueIndex index(QueueRoute... routes) {
    return QueueIndex.of(
        new FleetConfiguration(1, ImmutableList.copyOf(routes), ImmutableList.of(), ""));
  }

  private static QueueRoute route(String host, String pathPrefix) {
    return new QueueRoute("q", host, pathPrefix, "p", 3_000, 0, 3, 1.6, 600, Optional.empty());
  }
}
