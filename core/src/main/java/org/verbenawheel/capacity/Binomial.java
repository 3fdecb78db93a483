package org.verbenawheel.capacity;

/** Computes probabilities of independent failures. */
public final class Binomial {
  private Binomial() {}

  /**
   * Returns the probability of exactly some failures.
   *
   * @param trials how many may fail
   * @param probability of each failure, 0 to 1
   * @param failures how many fail
   */
  public static double exactly(int trials, double probability, int failures) {
    if (failures < 0 || failures > trials) {
      return 0;
    }
    if (probability <= 0 || probability >= 1) {
      int certain = probability <= 0 ? 0 : trials;
      return failures == certain ? 1 : 0;
    }
    double logarithm = 0;
    for (int step = 1; step <= failures; step++) {
      logarithm += Math.log((double) (trials - failures + step) / step);
    }
    logarithm += failures * Math.log(probability);
    logarithm += (trials - failures) * Math.log1p(-probability);
    return Math.exp(logarithm);
  }

  /**
   * Returns the probability of at least some failures.
   *
   * @param trials how many may fail
   * @param probability of each failure, 0 to 1
   * @param failures how many fail at least
   */
  public static double atLeast(int trials, double probability, int failures) {
    double below = 0;
    for (int count = 0; count < failures; count++) {
      below += exactly(trials, probability, count);
    }
    return Math.max(0, 1 - below);
  }
}
