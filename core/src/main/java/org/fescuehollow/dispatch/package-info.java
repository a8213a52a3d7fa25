/** Where a request goes, when it waits and when it is refused; pure decisions. */
package org.fescuehollow.dispatch;
