package org.fescuehollow.settings;

import java.util.List;
import java.util.Optional;
import org.fescuehollow.error.Problem;

/**
 * What a node knows of one path: the value in force and the newest value seen.
 *
 * <p>Invariant: {@code newest} is never older than {@code accepted}; they differ only while the
 * newest value is refused. Immutable and safe for use by any thread.
 *
 * @param accepted the entry in force; empty if none was ever valid
 * @param newest the entry with the highest revision seen
 * @param refusal why the newest value is refused; empty if it is in force
 */
public record PathState(
        Optional<SettingsEntry> accepted, SettingsEntry newest, Optional<Problem> refusal) {
    /**
     * Returns the entries that another node needs to reach the same state.
     *
     * @return one or two entries, the older first
     */
    public List<SettingsEntry> entries() {
        return accepted.filter(a -> !a.equals(newest))
                .map(a -> List.of(a, newest))
                .orElseGet(() -> List.of(newest));
    }
}
