package org.fescuehollow.settings;

import java.util.List;
import java.util.Optional;
import org.fescuehollow.error.Problem;

/**
 * The state of one path on a node: the entry in force and the newest entry seen.
 *
 * <p>Invariant: {@code newest} is never older than {@code accepted}; they differ only while the
 * newest entry is refused. Immutable and safe for use by any thread.
 *
 * @param accepted the entry in force; empty if no entry has been valid so far
 * @param newest the entry with the highest revision seen
 * @param refusal why the newest entry is refused; empty if it is in force
 */
public record PathState(
        Optional<SettingsEntry> accepted, SettingsEntry newest, Optional<Problem> refusal) {
    /**
     * Returns the entries that another node needs to reach the same state.
     *
     * @return the accepted and the newest entry in this order, or only the newest if they are the
     *     same or none is accepted
     */
    public List<SettingsEntry> entries() {
        return accepted.filter(a -> !a.equals(newest))
                .map(a -> List.of(a, newest))
                .orElseGet(() -> List.of(newest));
    }
}
