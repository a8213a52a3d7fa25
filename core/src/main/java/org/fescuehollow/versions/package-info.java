/** Decides at which software version a stream begins, and works out where one began. */
package org.fescuehollow.versions;
