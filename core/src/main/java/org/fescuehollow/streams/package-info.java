/** Streams of server-sent events: what makes an event, and what makes a stream whole. */
package org.fescuehollow.streams;
