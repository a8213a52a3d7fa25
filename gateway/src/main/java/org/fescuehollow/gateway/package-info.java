/** The entry program on a platform. */
package org.fescuehollow.gateway;
