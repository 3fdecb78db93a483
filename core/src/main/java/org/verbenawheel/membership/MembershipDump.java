package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/**
 * A diagnostic snapshot of one entry's membership, for operators.
 *
 * @param self this entry
 * @param incarnation the incarnation of its process
 * @param ownVersion counts the changes of the endpoints with a lease at this entry
 * @param ownEndpoints the number of those endpoints
 * @param viewVersion the version of the view
 * @param endpoints the number of endpoints in the view, which may get work
 * @param liveEntries the entries in the view
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
   * The copy of the endpoints that one process of another entry holds.
   *
   * @param entry the other entry
   * @param incarnation the incarnation of its process
   * @param version the version of the copy; negative if it matches no version of that entry
   * @param endpoints the number of endpoints in it
   * @param vouchedMillisecondsAgo the time since that entry last confirmed this copy; empty if
   *     never
   * @param aliveMillisecondsAgo the time since that entry last echoed a stamp; empty if never
   * @param stopping whether that entry announced that it stops
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
