/** The catalog, read from the platform's store. */
package org.fescuehollow.gateway.store;
