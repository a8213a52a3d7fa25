/** Which adapter is on which engine, and who gives the orders that change it. */
package org.fescuehollow.residency;
