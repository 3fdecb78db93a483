package org.verbenawheel.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentProblem;
import org.verbenawheel.identity.ProcessId;

/** Checks that settings are consistent with one another, after each has been checked by itself. */
final class SettingChecks {
  /**
   * A timeout or lease must span at least this many intervals between messages, so that the loss of
   * one message does not end it.
   */
  private static final int INTERVALS_PER_TIMEOUT = 3;

  private SettingChecks() {}

  /**
   * Checks the settings of an entry.
   *
   * @throws DocumentException with all inconsistencies found
   */
  static void checkEntry(EntrySettings settings, SettingValues values) throws DocumentException {
    List<DocumentProblem> problems = new ArrayList<>();
    checkTimeoutSpansIntervals(
        values,
        EntrySettingDefinitions.CONFIGURATION_POLL_MILLISECONDS,
        EntrySettingDefinitions.CONFIGURATION_FRESHNESS_MILLISECONDS,
        problems);
    checkTimeoutSpansIntervals(
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
   * @throws DocumentException with all inconsistencies found
   */
  static void checkControl(ControlSettings settings, SettingValues values)
      throws DocumentException {
    List<DocumentProblem> problems = new ArrayList<>();
    checkTimeoutSpansIntervals(
        values,
        ControlSettingDefinitions.REPLICATION_HEARTBEAT_MILLISECONDS,
        ControlSettingDefinitions.ELECTION_TIMEOUT_MILLISECONDS,
        problems);
    checkTimeoutSpansIntervals(
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

  private static void checkTimeoutSpansIntervals(
      SettingValues values,
      SettingDefinition interval,
      SettingDefinition timeout,
      List<DocumentProblem> problems) {
    long minimum = values.number(interval) * INTERVALS_PER_TIMEOUT;
    if (values.number(timeout) < minimum) {
      problems.add(
          values.problem(
              timeout,
              "at least "
                  + minimum
                  + ", which is "
                  + INTERVALS_PER_TIMEOUT
                  + " times "
                  + interval.key()));
    }
  }

  private static void checkOwnAddress(
      SettingValues values,
      SettingDefinition addressesSetting,
      ImmutableMap<ProcessId, InetSocketAddress> addresses,
      ProcessId process,
      InetSocketAddress ownAddress,
      List<DocumentProblem> problems) {
    InetSocketAddress listedAddress = addresses.get(process);
    boolean unspecified = ownAddress.getAddress().isAnyLocalAddress() || ownAddress.getPort() == 0;
    if (listedAddress != null && !unspecified && !listedAddress.equals(ownAddress)) {
      problems.add(
          values.problem(
              addressesSetting,
              "for " + process + " the address that it listens on, " + ownAddress));
    }
  }

  private static void throwIfAny(List<DocumentProblem> problems) throws DocumentException {
    if (!problems.isEmpty()) {
      throw new DocumentException(ImmutableList.copyOf(problems));
    }
  }
}
