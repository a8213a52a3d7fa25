/** What entry nodes know of each other without a list of them. */
package org.fescuehollow.exchange;
