package org.fescuehollow.faults;

import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.model.AdapterRef;

/** A call to an adapter; calls with the same key are the same request, sent again. */
record SimulatedCall(
        String id,
        String key,
        AdapterRef adapter,
        boolean repeatable,
        boolean crashesEngine,
        Ticket ticket) {
    String expectedText() {
        return adapter + " answers " + key;
    }

    long digest() {
        return Rendezvous.hash(key);
    }
}
