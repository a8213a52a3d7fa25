/** The way of a request. */
package org.fescuehollow.gateway.calls;
