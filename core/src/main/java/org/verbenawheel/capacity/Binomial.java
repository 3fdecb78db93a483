package org.verbenawheel.capacity;

/** Binomial probabilities, used for the number of independent failures. */
public final class Binomial {
  private Binomial() {}

  /**
   * Returns the probability that exactly {@code failures} of {@code trials} fail.
   *
   * @param trials the number of independent trials
   * @param probability the probability that one trial fails, 0 to 1
   * @param failures the number of failures
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
    for (int factor = 1; factor <= failures; factor++) {
      logarithm += Math.log((double) (trials - failures + factor) / factor);
    }
    logarithm += failures * Math.log(probability);
    logarithm += (trials - failures) * Math.log1p(-probability);
    return Math.exp(logarithm);
  }

  /**
   * Returns the probability that at least {@code failures} of {@code trials} fail.
   *
   * @param trials the number of independent trials
   * @param probability the probability that one trial fails, 0 to 1
   * @param failures the minimum number of failures
   */
  public static double atLeast(int trials, double probability, int failures) {
    double below = 0;
    for (int count = 0; count < failures; count++) {
      below += exactly(trials, probability, count);
    }
    return Math.max(0, 1 - below);
  }
}
