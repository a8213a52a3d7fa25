/** Membership and state exchange of entry nodes, without a configured list of all nodes. */
package org.fescuehollow.exchange;
