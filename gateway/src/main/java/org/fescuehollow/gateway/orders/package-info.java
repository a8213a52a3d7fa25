/** Load and unload orders to the engines that this node holds. */
package org.fescuehollow.gateway.orders;
