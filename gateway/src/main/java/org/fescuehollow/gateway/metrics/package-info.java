/** Metrics and their HTTP endpoint. */
package org.fescuehollow.gateway.metrics;
