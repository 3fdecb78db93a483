package org.verbenawheel.command;

import org.verbenawheel.identity.HostName;
import org.verbenawheel.pool.HostRecord;

/** Looks up the current record of a host for the commands that change it. */
final class Hosts {
  private Hosts() {}

  /**
   * Returns the current record of a host, whose version the change expects.
   *
   * @param client used to read the list of hosts
   * @param name the host to find
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
                    "list the names with: verbenawheel host list"));
  }
}
