/** Client requests: from their arrival through the attempts at engines to the response. */
package org.fescuehollow.gateway.calls;
