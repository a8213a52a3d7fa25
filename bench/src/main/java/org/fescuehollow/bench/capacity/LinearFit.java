package org.fescuehollow.bench.capacity;

import java.util.SortedMap;

/**
 * A line fitted to measured points by least squares.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param slope growth per unit of size
 * @param intercept value at size 0
 */
public record LinearFit(double slope, double intercept) {
    /**
     * Fits a line.
     *
     * @param points values by size, with at least two sizes
     * @return the fitted line
     */
    public static LinearFit fit(SortedMap<Integer, Double> points) {
        double meanX = points.keySet().stream().mapToInt(x -> x).average().orElse(0);
        double meanY = points.values().stream().mapToDouble(y -> y).average().orElse(0);
        double covariance =
                points.entrySet().stream()
                        .mapToDouble(e -> (e.getKey() - meanX) * (e.getValue() - meanY))
                        .sum();
        double variance =
                points.keySet().stream().mapToDouble(x -> (x - meanX) * (x - meanX)).sum();
        double perUnit = covariance / variance;
        return new LinearFit(perUnit, meanY - perUnit * meanX);
    }

    /**
     * Returns the value of the line at a size.
     *
     * @param size the size
     * @return the value
     */
    public double valueAt(double size) {
        return intercept + slope * size;
    }
}
