package org.verbenawheel.membership;

import java.util.function.Consumer;

/** Tells who is alive. Safe for use by many threads. */
public interface MembershipSource {
  /** Returns the present view. */
  MembershipView view();

  /**
   * Calls a listener with each later view, in order, on the membership thread.
   *
   * @param listener must not block
   */
  void addListener(Consumer<MembershipView> listener);
}
