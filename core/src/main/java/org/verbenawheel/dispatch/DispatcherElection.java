package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;

/**
 * Elects the dispatcher of each service by rendezvous hashing over the live entries.
 *
 * <p>Entries with the same view elect the same dispatcher without exchanging messages, the services
 * spread over the entries, and the death of an entry moves only its own services. See Thaler and
 * Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
 * Networking, 1998.
 */
public final class DispatcherElection {
  private DispatcherElection() {}

  /**
   * Returns the entries in order of precedence for a service: the first is its dispatcher, the next
   * its successor.
   *
   * @param service the service to be dispatched
   * @param entries the live entries
   */
  public static ImmutableList<ProcessId> ranking(
      ServiceName service, Collection<ProcessId> entries) {
    return entries.stream()
        .sorted(
            Comparator.comparingLong((ProcessId entry) -> score(service, entry))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .collect(ImmutableList.toImmutableList());
  }

  private static long score(ServiceName service, ProcessId entry) {
    return Hashing.sha256()
        .hashString(service.value() + '/' + entry.value(), StandardCharsets.UTF_8)
        .asLong();
  }
}
