package org.fescuehook.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws a slope: the measured points and the fitted line. */
final class SlopePlot {
  private static final int WIDTH = 640;
  private static final int HEIGHT = 400;

  private final Path directory;

  SlopePlot(Path directory) {
    this.directory = directory;
  }

  void write(Slope slope) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(slope.name())
            .xAxisTitle(slope.size())
            .yAxisTitle(slope.unit())
            .build();
    double[] sizes = slope.points().stream().mapToDouble(Slope.Point::size).toArray();
    double[] costs = slope.points().stream().mapToDouble(Slope.Point::cost).toArray();
    double[] fitted = slope.points().stream().mapToDouble(p -> slope.at(p.size())).toArray();
    chart.addSeries("measured", sizes, costs).setXYSeriesRenderStyle(XYSeriesRenderStyle.Scatter);
    chart.addSeries("fit", sizes, fitted).setMarker(SeriesMarkers.NONE);
    Files.createDirectories(directory);
    String file = slope.name().replaceAll("[^a-z0-9]+", "-") + ".png";
    BitmapEncoder.saveBitmap(
        chart, directory.resolve(file).toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
