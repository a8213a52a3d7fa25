package org.fescuehollow.catalog;

/**
 * An adapter of a base model, or the base model itself.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param model the base model's name; empty for requests to plain services
 * @param adapter the adapter's name; empty for the base model itself
 */
public record AdapterKey(String model, String adapter) {
    /** The key of requests that name no model. */
    public static final AdapterKey NONE = new AdapterKey("", "");

    /**
     * Parses the form {@code model/adapter} or {@code model}.
     *
     * @param text the text; an empty one gives {@link #NONE}
     * @return the key
     */
    public static AdapterKey parse(String text) {
        int slash = text.indexOf('/');
        return slash < 0
                ? new AdapterKey(text, "")
                : new AdapterKey(text.substring(0, slash), text.substring(slash + 1));
    }

    /**
     * Returns whether this key names an adapter.
     *
     * @return false for a base model or no model
     */
    public boolean isAdapter() {
        return !adapter.isEmpty();
    }

    // The generated methods are linked at first use and slow without the optimizing compiler.
    @Override
    public boolean equals(Object other) {
        return other instanceof AdapterKey key
                && adapter.equals(key.adapter)
                && model.equals(key.model);
    }

    @Override
    public int hashCode() {
        return 31 * model.hashCode() + adapter.hashCode();
    }

    @Override
    public String toString() {
        return adapter.isEmpty() ? model : model + "/" + adapter;
    }
}
