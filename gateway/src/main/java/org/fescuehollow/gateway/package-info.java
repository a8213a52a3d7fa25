/** The entry node: the gateway process on an entry VM. */
package org.fescuehollow.gateway;
