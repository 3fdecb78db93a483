package org.verbenawheel.queue;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the queues of one configuration. The time of a search does not depend on the number of
 * queues, since the leader searches for each job in each scheduling round.
 */
public final class QueueIndex {
  /** An index without queues. */
  public static final QueueIndex EMPTY = new QueueIndex(ImmutableList.of());

  private final ImmutableMap<String, QueueRoute> queuesByAddress;
  private final ImmutableMap<String, QueueRoute> queuesByLowerCaseHost;
  private final ImmutableSortedSet<Integer> prefixLengths;

  private QueueIndex(ImmutableList<QueueRoute> queues) {
    Map<String, QueueRoute> byAddress = new HashMap<>();
    Map<String, QueueRoute> byLowerCaseHost = new HashMap<>();
    ImmutableSortedSet.Builder<Integer> lengths = ImmutableSortedSet.reverseOrder();
    for (QueueRoute queue : queues) {
      byAddress.putIfAbsent(queue.address(), queue);
      byLowerCaseHost.putIfAbsent(Ascii.toLowerCase(queue.host()) + queue.pathPrefix(), queue);
      lengths.add(queue.pathPrefix().length());
    }
    this.queuesByAddress = ImmutableMap.copyOf(byAddress);
    this.queuesByLowerCaseHost = ImmutableMap.copyOf(byLowerCaseHost);
    this.prefixLengths = lengths.build();
  }

  /** Returns an index of the queues of a configuration. */
  public static QueueIndex of(FleetConfiguration configuration) {
    return new QueueIndex(configuration.queues());
  }

  /**
   * Returns the queue that a request addresses: the one with the longest matching path prefix. Host
   * names match in any case.
   *
   * @param host the host name, without a port
   * @param path the path of the request
   */
  public Optional<QueueRoute> queueFor(String host, String path) {
    String lowerCaseHost = Ascii.toLowerCase(host);
    for (int length : prefixLengths) {
      if (length <= path.length()) {
        QueueRoute queue = queuesByLowerCaseHost.get(lowerCaseHost + path.substring(0, length));
        if (queue != null) {
          return Optional.of(queue);
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the queue with an address.
   *
   * @param address the host name and path prefix, see {@link QueueRoute#address}
   */
  public Optional<QueueRoute> queueWithAddress(String address) {
    return Optional.ofNullable(queuesByAddress.get(address));
  }
}
