package org.fescuehollow.internal;

/** Argument checks whose messages show the expected and the actual value. Stateless. */
public final class Preconditions {
    private Preconditions() {}

    /**
     * Requires a text that is neither null nor blank.
     *
     * @param name the argument's name
     * @param value the argument
     * @return the argument
     * @throws IllegalArgumentException if it is null or blank
     */
    public static String requireNonBlank(String name, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(
                    "expected " + name + " to be non-blank, got '" + value + "'");
        }
        return value;
    }

    /**
     * Requires a number within a range.
     *
     * @param name the argument's name
     * @param value the argument
     * @param min the minimum, inclusive
     * @param max the maximum, inclusive
     * @return the argument
     * @throws IllegalArgumentException if it is out of range
     */
    public static long requireInRange(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    "expected " + name + " from " + min + " to " + max + ", got " + value);
        }
        return value;
    }

    /**
     * Requires a value that is not null.
     *
     * @param <T> the argument's type
     * @param name the argument's name
     * @param value the argument
     * @return the argument
     * @throws IllegalArgumentException if it is null
     */
    public static <T> T requireNonNull(String name, T value) {
        if (value == null) {
            throw new IllegalArgumentException("expected " + name + ", got null");
        }
        return value;
    }
}
