package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.execution.HostCalls.Host;

/**
 * The hosts of the platform as of its latest answers. Confined to the state thread.
 *
 * <p>An answer is as old as its request: what changed after that may be missing from it. So it can
 * only be read together with a moment that the request must not be earlier than. A host counts as
 * gone once two answers in a row lack it, since a single one may be incomplete.
 */
final class HostListing {
  private Optional<Answer> latest = Optional.empty();
  private Optional<Answer> previous = Optional.empty();

  /**
   * Takes an answer, unless a later request has been answered already.
   *
   * @param askedAt when the list was requested
   * @param hosts all hosts in the answer
   */
  void accept(Instant askedAt, ImmutableList<Host> hosts) {
    if (latest.filter(answer -> !answer.askedAt().isBefore(askedAt)).isPresent()) {
      return;
    }
    Map<String, Host> byName = new LinkedHashMap<>();
    // A host that moves while the pages are read may be in two of them.
    hosts.forEach(host -> byName.put(host.name(), host));
    previous = latest;
    latest = Optional.of(new Answer(askedAt, ImmutableMap.copyOf(byName)));
  }

  /** Returns whether an answer to a request made at this moment or later is there. */
  boolean isSince(Instant moment) {
    return since(latest, moment).isPresent();
  }

  /** Returns a host if the latest answer was requested at this moment or later and names it. */
  Optional<Host> find(String name, Instant moment) {
    return since(latest, moment).flatMap(answer -> answer.find(name));
  }

  /** Returns whether two answers to requests made at this moment or later lack a host. */
  boolean isGone(String name, Instant moment) {
    return lacks(latest, name, moment) && lacks(previous, name, moment);
  }

  private static boolean lacks(Optional<Answer> answer, String name, Instant moment) {
    return since(answer, moment).filter(listed -> listed.find(name).isEmpty()).isPresent();
  }

  private static Optional<Answer> since(Optional<Answer> answer, Instant moment) {
    return answer.filter(listed -> !listed.askedAt().isBefore(moment));
  }

  /** One answer of the platform. */
  private record Answer(Instant askedAt, ImmutableMap<String, Host> hosts) {
    Optional<Host> find(String name) {
      return Optional.ofNullable(hosts.get(name));
    }
  }
}
