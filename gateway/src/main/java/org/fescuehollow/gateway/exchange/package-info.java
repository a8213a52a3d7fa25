/** State messages between entry nodes. */
package org.fescuehollow.gateway.exchange;
