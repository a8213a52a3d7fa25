package org.fescuehollow.streams;

import java.util.Optional;

/**
 * The order of the ids of a stream, over all engines that send parts of it: they increase, and none
 * is skipped if the ids of the service count events.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param last the last id; -1 if there is none
 */
record EventIds(long last) {
    private static final String MAX_ID = String.valueOf(Long.MAX_VALUE);

    /** Returns the ids of a stream that starts after the event with an id, if that is a number. */
    static EventIds after(String lastId) {
        return new EventIds(isNumber(lastId) ? Long.parseLong(lastId) : -1);
    }

    static boolean isNumber(String id) {
        boolean small =
                id.length() < MAX_ID.length()
                        || id.length() == MAX_ID.length() && id.compareTo(MAX_ID) <= 0;
        return !id.isEmpty() && small && id.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** Returns what is wrong with the next id, if anything, and adds its step to the evidence. */
    Optional<EventDefect> check(long id, EventIdSteps steps) {
        if (last >= 0 && id <= last) {
            return Optional.of(EventDefect.ID_NOT_INCREASING);
        }
        boolean countsEvents = steps.countEvents();
        boolean next = last < 0 ? id <= 1 : id == last + 1;
        steps.add(next);
        return countsEvents && !next ? Optional.of(EventDefect.EVENT_MISSING) : Optional.empty();
    }
}
