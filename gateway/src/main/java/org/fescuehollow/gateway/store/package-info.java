/**
 * The catalog of configuration, engines and adapter versions, read from the platform's key-value
 * store.
 */
package org.fescuehollow.gateway.store;
