/** Structured log lines. */
package org.fescuehollow.gateway.log;
