/** Counters and histograms. */
package org.fescuehollow.gateway.metrics;
