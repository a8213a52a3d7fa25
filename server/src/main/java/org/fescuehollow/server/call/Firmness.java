package org.fescuehollow.server.call;

import org.fescuehollow.placement.AdmissionMode;

/**
 * How firmly an attempt asks a coordinator to take it, and what is known of its adapter's use.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param ask how firmly
 * @param uses how often the adapter was asked for elsewhere, earlier uses counting less
 */
public record Firmness(AdmissionMode ask, double uses) {}
