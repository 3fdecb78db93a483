package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/**
 * The state of one entry's membership for a person.
 *
 * @param self this entry
 * @param incarnation the start of its process
 * @param ownVersion counts the changes of the endpoints whose lease it holds
 * @param ownEndpoints how many those are
 * @param viewVersion the version of the view
 * @param endpoints how many endpoints may get work
 * @param liveEntries the entries that answer
 * @param sections the copies of the other entries' endpoints
 */
public record MembershipDump(
    String self,
    long incarnation,
    long ownVersion,
    int ownEndpoints,
    long viewVersion,
    int endpoints,
    ImmutableList<ProcessId> liveEntries,
    ImmutableList<Section> sections) {
  /**
   * The copy of what one process of another entry holds.
   *
   * @param entry the other entry
   * @param incarnation the start of its process
   * @param version the version of the copy; negative if it matches none
   * @param endpoints how many endpoints are in it
   * @param vouchedMillisecondsAgo since when that entry has not vouched for this version
   * @param aliveMillisecondsAgo since when that entry has given no sign of life
   * @param stopping whether it said that it stops
   */
  public record Section(
      String entry,
      long incarnation,
      long version,
      int endpoints,
      Optional<Long> vouchedMillisecondsAgo,
      Optional<Long> aliveMillisecondsAgo,
      boolean stopping) {}
}
