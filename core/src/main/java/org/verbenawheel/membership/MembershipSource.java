package org.verbenawheel.membership;

import java.util.function.Consumer;

/** Provides the current view of live endpoints and entries. Thread-safe. */
public interface MembershipSource {
  /** Returns the current view. */
  MembershipView view();

  /**
   * Registers a listener, which is called with later views in order, on the membership thread.
   * Views that are replaced before they are published are skipped.
   *
   * @param listener must not block
   */
  void addListener(Consumer<MembershipView> listener);
}
