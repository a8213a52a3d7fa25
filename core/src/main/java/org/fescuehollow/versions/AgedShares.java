package org.fescuehollow.versions;

import java.time.Duration;

/**
 * Shares from the store's history.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param shares the shares
 * @param minAge the time since they came into being, at least
 */
public record AgedShares(VersionShares shares, Duration minAge) {}
