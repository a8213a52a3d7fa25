/** What every part of the entry program uses. */
package org.fescuehollow.gateway.node;
