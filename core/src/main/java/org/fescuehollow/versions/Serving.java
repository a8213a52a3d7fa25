package org.fescuehollow.versions;

import java.util.TreeSet;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.hashing.Rendezvous;

/** Tells changes of an engine's entry that concern new streams from its heartbeats. Stateless. */
final class Serving {
    private Serving() {}

    /** Returns whether two entries of an id stand for the same; null stands for no engine. */
    static boolean isSame(Engine a, Engine b) {
        if (a == null || b == null) {
            return a == b;
        }
        return a.startedMillis() == b.startedMillis()
                && a.draining() == b.draining()
                && a.service().equals(b.service())
                && a.softwareVersion().equals(b.softwareVersion())
                && a.models().equals(b.models());
    }

    /** Returns a hash of what {@link #isSame} compares, the same in every process. */
    static long fingerprint(Engine e) {
        return Rendezvous.hash(
                String.join(
                        "\n",
                        e.id(),
                        Long.toString(e.startedMillis()),
                        e.service(),
                        e.softwareVersion(),
                        Boolean.toString(e.draining()),
                        String.join("\n", new TreeSet<>(e.models()))));
    }
}
