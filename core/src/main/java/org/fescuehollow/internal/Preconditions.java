package org.fescuehollow.internal;

/** Checks of arguments with messages that show expected and actual. Stateless. */
public final class Preconditions {
    private Preconditions() {}

    /**
     * Requires a text that isn't blank.
     *
     * @param name the argument's name
     * @param value the argument
     * @return the argument
     * @throws IllegalArgumentException if it is null or blank
     */
    public static String requireNonBlank(String name, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(
                    "expected " + name + " with text, got '" + value + "'");
        }
        return value;
    }

    /**
     * Requires a number within bounds.
     *
     * @param name the argument's name
     * @param value the argument
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @return the argument
     * @throws IllegalArgumentException if it lies outside
     */
    public static long requireInRange(String name, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    "expected " + name + " from " + least + " to " + most + ", got " + value);
        }
        return value;
    }

    /**
     * Requires a value.
     *
     * @param <T> the argument's type
     * @param name the argument's name
     * @param value the argument
     * @return the argument
     * @throws IllegalArgumentException if it is null
     */
    public static <T> T requireNonNull(String name, T value) {
        if (value == null) {
            throw new IllegalArgumentException("expected " + name + ", got nothing");
        }
        return value;
    }
}
