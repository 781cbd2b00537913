package org.fescuehook.logic.batch.statistics;

/** Conversions between probabilities and the logarithms of their odds. */
final class LogOdds {

  private LogOdds() {}

  static double of(double probability) {
    return Math.log(probability / (1 - probability));
  }

  static double probability(double logOdds) {
    return 1 / (1 + Math.exp(-logOdds));
  }
}
