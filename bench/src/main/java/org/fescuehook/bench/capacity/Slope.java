package org.fescuehook.bench.capacity;

import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A cost measured at several sizes, and the line fitted to it by least squares.
 *
 * @param name what was measured, also the name of its plot
 * @param size what the cost is measured against
 * @param unit unit of the cost
 * @param points measured pairs
 */
record Slope(String name, String size, String unit, List<Point> points) {

  /** One measured pair. */
  record Point(double size, double cost) {}

  Slope {
    points = List.copyOf(points);
  }

  /** Returns the fitted cost at a size. */
  double at(double x) {
    return regression().predict(x);
  }

  double perUnit() {
    return regression().getSlope();
  }

  double atZero() {
    return regression().getIntercept();
  }

  /** Returns the largest distance of a measured cost from the line. */
  double spread() {
    double largest = 0;
    for (Point point : points) {
      largest = Math.max(largest, Math.abs(point.cost() - at(point.size())));
    }
    return largest;
  }

  /** Returns a row of a Markdown table. */
  String row() {
    StringBuilder measured = new StringBuilder();
    for (Point point : points) {
      measured.append(format("%.0f: %.4g; ", point.size(), point.cost()));
    }
    return format(
        "| %s | %s | %s | %s| %.4g + %.4g x | %.3g | %.3f |",
        name, size, unit, measured, atZero(), perUnit(), spread(), regression().getRSquare());
  }

  private SimpleRegression regression() {
    SimpleRegression regression = new SimpleRegression();
    for (Point point : points) {
      regression.addData(point.size(), point.cost());
    }
    return regression;
  }

  private static String format(String format, Object... arguments) {
    return String.format(Locale.ROOT, format, arguments);
  }
}
