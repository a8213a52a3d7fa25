/** Settings, clock and context that all services of an entry node share. */
package org.fescuehollow.gateway.node;
