package org.fescuehollow.bench.capacity;

import java.util.SortedMap;

/**
 * A straight line through measured points, by least squares.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param perUnit growth with each unit of size
 * @param atZero value at size zero
 */
public record Slope(double perUnit, double atZero) {
    /**
     * Fits a line.
     *
     * @param points sizes and values, at least two sizes
     * @return the line
     */
    public static Slope through(SortedMap<Integer, Double> points) {
        double meanX = points.keySet().stream().mapToInt(x -> x).average().orElse(0);
        double meanY = points.values().stream().mapToDouble(y -> y).average().orElse(0);
        double covariance =
                points.entrySet().stream()
                        .mapToDouble(e -> (e.getKey() - meanX) * (e.getValue() - meanY))
                        .sum();
        double variance =
                points.keySet().stream().mapToDouble(x -> (x - meanX) * (x - meanX)).sum();
        double perUnit = covariance / variance;
        return new Slope(perUnit, meanY - perUnit * meanX);
    }

    /**
     * Returns the line's value.
     *
     * @param size a size
     * @return the value
     */
    public double at(double size) {
        return atZero + perUnit * size;
    }
}
