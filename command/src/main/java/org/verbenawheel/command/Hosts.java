package org.verbenawheel.command;

import org.verbenawheel.identity.HostName;
import org.verbenawheel.pool.HostRecord;

/** Finds hosts for the commands that change one. */
final class Hosts {
  private Hosts() {}

  /**
   * Returns a host as it is now.
   *
   * @param client reads the hosts
   * @param name the host
   * @throws CommandFailedException if there is no such host
   */
  static HostRecord find(OperatorClient client, HostName name) throws CommandFailedException {
    return client.hosts().stream()
        .filter(host -> host.host().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new CommandFailedException(
                    ExitCode.REFUSED,
                    "no host is named " + name,
                    "see the names with: verbenawheel host list"));
  }
}
