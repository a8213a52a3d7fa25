/** Responses of backend servers: whether a head is the head of one response, and of whose. */
package org.fescuehollow.responses;
