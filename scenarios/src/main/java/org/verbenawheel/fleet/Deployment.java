package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;

/** Reference deployment with four serving pools and one spare pool. */
enum Deployment {
  /** Stockists can wait some seconds for a quote, hence the long deadline. */
  DERWENT(
      5_000,
      ImmutableList.of("launceston-desk", "launceston-foundry", "hobart-desk", "hobart-foundry"),
      "members-hub"),
  /** A driver waits at the door for the answer, hence the short deadline. */
  ENTREGAFOTO(2_000, ImmutableList.of("portaria", "selo", "farmacia", "reclama"), "bastidor");

  private final long deadlineMilliseconds;
  private final ImmutableList<String> services;
  private final String spare;

  Deployment(long deadlineMilliseconds, ImmutableList<String> services, String spare) {
    this.deadlineMilliseconds = deadlineMilliseconds;
    this.services = services;
    this.spare = spare;
  }

  long deadlineMilliseconds() {
    return deadlineMilliseconds;
  }

  ImmutableList<String> services() {
    return services;
  }

  String spare() {
    return spare;
  }

  /** Returns the number of hosts of a service: 6 to 9, by its position in the list of services. */
  int runners(int position) {
    return 6 + position;
  }
}
