package org.verbenawheel.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentProblem;
import org.verbenawheel.identity.ProcessId;

/** Checks settings against one another, once each is acceptable by itself. */
final class SettingChecks {
  /** A lease or a timeout spans at least this many tries, so that one lost message ends nothing. */
  private static final int TRIES_IN_A_TIMEOUT = 3;

  private SettingChecks() {}

  /**
   * Checks the settings of an entry.
   *
   * @throws DocumentException with every problem
   */
  static void checkEntry(EntrySettings settings, SettingValues values) throws DocumentException {
    List<DocumentProblem> problems = new ArrayList<>();
    checkTries(
        values,
        EntrySettingDefinitions.CONFIGURATION_POLL_MILLISECONDS,
        EntrySettingDefinitions.CONFIGURATION_FRESHNESS_MILLISECONDS,
        problems);
    checkTries(
        values,
        EntrySettingDefinitions.HEARTBEAT_INTERVAL_MILLISECONDS,
        EntrySettingDefinitions.PEER_SILENCE_MILLISECONDS,
        problems);
    checkOwnAddress(
        values,
        EntrySettingDefinitions.ENTRIES,
        settings.entries(),
        settings.process(),
        settings.peerAddress(),
        problems);
    checkOwnAddress(
        values,
        EntrySettingDefinitions.ENTRY_HTTP_ADDRESSES,
        settings.entryHttpAddresses(),
        settings.process(),
        settings.httpAddress(),
        problems);
    throwIfAny(problems);
  }

  /**
   * Checks the settings of a control process.
   *
   * @throws DocumentException with every problem
   */
  static void checkControl(ControlSettings settings, SettingValues values)
      throws DocumentException {
    List<DocumentProblem> problems = new ArrayList<>();
    checkTries(
        values,
        ControlSettingDefinitions.REPLICATION_HEARTBEAT_MILLISECONDS,
        ControlSettingDefinitions.ELECTION_TIMEOUT_MILLISECONDS,
        problems);
    checkTries(
        values,
        ControlSettingDefinitions.HEARTBEAT_INTERVAL_MILLISECONDS,
        ControlSettingDefinitions.PEER_SILENCE_MILLISECONDS,
        problems);
    checkOwnAddress(
        values,
        ControlSettingDefinitions.CONTROLS,
        settings.controls(),
        settings.process(),
        settings.peerAddress(),
        problems);
    throwIfAny(problems);
  }

  private static void checkTries(
      SettingValues values,
      SettingDefinition interval,
      SettingDefinition timeout,
      List<DocumentProblem> problems) {
    long shortest = values.number(interval) * TRIES_IN_A_TIMEOUT;
    if (values.number(timeout) < shortest) {
      problems.add(
          values.problem(
              timeout,
              "at least "
                  + shortest
                  + ", which is "
                  + TRIES_IN_A_TIMEOUT
                  + " times "
                  + interval.key()));
    }
  }

  private static void checkOwnAddress(
      SettingValues values,
      SettingDefinition list,
      ImmutableMap<ProcessId, InetSocketAddress> addresses,
      ProcessId process,
      InetSocketAddress own,
      List<DocumentProblem> problems) {
    InetSocketAddress listed = addresses.get(process);
    boolean anyAddress = own.getAddress().isAnyLocalAddress() || own.getPort() == 0;
    if (listed != null && !anyAddress && !listed.equals(own)) {
      problems.add(
          values.problem(list, "for " + process + " the address that it listens on, " + own));
    }
  }

  private static void throwIfAny(List<DocumentProblem> problems) throws DocumentException {
    if (!problems.isEmpty()) {
      throw new DocumentException(ImmutableList.copyOf(problems));
    }
  }
}
