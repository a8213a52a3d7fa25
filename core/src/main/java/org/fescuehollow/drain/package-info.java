/** The decisions of a planned stop of a node. */
package org.fescuehollow.drain;
