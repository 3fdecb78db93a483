package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;

/** The brief's two deployments: four serving pools and a spare pool each. */
enum Deployment {
  /** Stockists wait some seconds for a quote. */
  DERWENT(
      5_000,
      ImmutableList.of("launceston-desk", "launceston-foundry", "hobart-desk", "hobart-foundry"),
      "members-hub"),
  /** A driver stands at the door. */
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

  /** The number of runners of a service: six to nine, by its position. */
  int runners(int position) {
    return 6 + position;
  }
}
