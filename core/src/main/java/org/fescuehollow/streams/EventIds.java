package org.fescuehollow.streams;

import java.util.Optional;

/**
 * The order of the ids of a stream, over all engines that send parts of it.
 *
 * <p>Ids increase. Where two in a row differ by one, they count events, so that none may be skipped
 * from then on; ids that count something else may leave gaps.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param last the last id; -1 if there is none
 * @param step whether the ids count events, as far as known
 */
record EventIds(long last, Step step) {
    /** The largest number of digits of an id. */
    private static final int MAX_DIGITS = 18;

    /** What the ids have shown so far. */
    enum Step {
        UNKNOWN,
        ONE,
        VARIABLE
    }

    /** Returns the ids of a stream that starts after the event with an id, if that is a number. */
    static EventIds after(String lastId) {
        return new EventIds(isNumber(lastId) ? Long.parseLong(lastId) : -1, Step.UNKNOWN);
    }

    static boolean isNumber(String id) {
        return !id.isEmpty()
                && id.length() <= MAX_DIGITS
                && id.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** Returns what is wrong with the next id, if anything. */
    Optional<EventDefect> defect(long id) {
        if (last >= 0 && id <= last) {
            return Optional.of(EventDefect.ID_NOT_INCREASING);
        }
        return step == Step.ONE && id != last + 1
                ? Optional.of(EventDefect.EVENT_MISSING)
                : Optional.empty();
    }

    EventIds with(long id) {
        boolean known = step != Step.UNKNOWN || last < 0;
        Step next = known ? step : id == last + 1 ? Step.ONE : Step.VARIABLE;
        return new EventIds(id, next);
    }
}
