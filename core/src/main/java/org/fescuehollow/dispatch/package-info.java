/** Decides where requests go, how long they wait and when they are rejected; performs no I/O. */
package org.fescuehollow.dispatch;
