/** Structured logging of events. */
package org.fescuehollow.gateway.log;
