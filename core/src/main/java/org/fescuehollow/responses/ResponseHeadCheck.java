package org.fescuehollow.responses;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Decides whether a head, as the HTTP decoder returns it, is the head of one final response, and
 * whether it is that of a given request. A decoder is lenient: it completes a head that was cut off
 * with the head of the next response.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ResponseHeadCheck {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final char DELETE = 0x7f;

    /** Fields of the standard that a response has at most once. */
    private static final Set<String> STANDARD_SINGLE_FIELDS =
            Set.of(
                    "age",
                    "content-length",
                    "content-location",
                    "content-range",
                    "content-type",
                    "date",
                    "etag",
                    "expires",
                    "last-modified",
                    "location",
                    "retry-after",
                    "server",
                    "transfer-encoding");

    private final String mIdField;
    private final Set<String> mIdentityFields;
    private final Set<String> mSingleFields;

    /**
     * Creates a check.
     *
     * @param idField the name of the field with the id of the request
     * @param identityFields the names of further fields that a response has at most once and that
     *     concern more than one connection
     */
    public ResponseHeadCheck(String idField, Set<String> identityFields) {
        mIdField = lowerCase(idField);
        mIdentityFields =
                Stream.concat(Stream.of(idField), identityFields.stream())
                        .map(ResponseHeadCheck::lowerCase)
                        .collect(Collectors.toUnmodifiableSet());
        mSingleFields =
                Stream.of(mIdentityFields, STANDARD_SINGLE_FIELDS)
                        .flatMap(Set::stream)
                        .collect(Collectors.toUnmodifiableSet());
    }

    private static String lowerCase(String text) {
        return text.toLowerCase(Locale.ROOT);
    }

    /**
     * Returns what keeps a head from being that of the response to a request.
     *
     * @param status the status
     * @param reason the reason phrase; empty if there is none
     * @param fields the names and values of all fields, in any case of letters
     * @param requestId the id of the request, which the server repeats; empty if it has none
     * @return the first defect found; empty if the head is sound
     */
    public Optional<HeadDefect> findDefect(
            int status,
            String reason,
            Iterable<Map.Entry<String, String>> fields,
            String requestId) {
        Optional<HeadDefect> defect = findStatusDefect(status, reason);
        Set<String> single = new HashSet<>();
        String id = "";
        for (Map.Entry<String, String> field : fields) {
            if (defect.isPresent()) {
                return defect;
            }
            String name = lowerCase(field.getKey());
            defect = findFieldDefect(field.getKey(), name, field.getValue());
            if (mSingleFields.contains(name) && !single.add(name)) {
                defect = defect.or(() -> Optional.of(HeadDefect.REPEATED_FIELD));
            }
            id = name.equals(mIdField) ? field.getValue().strip() : id;
        }
        return defect.isPresent() ? defect : findOwnerDefect(id, requestId);
    }

    private static Optional<HeadDefect> findStatusDefect(int status, String reason) {
        if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
            return Optional.of(HeadDefect.STATUS);
        }
        if (StatusLinePattern.isWithinReason(reason)) {
            return Optional.of(HeadDefect.SECOND_STATUS_LINE);
        }
        return isText(reason) ? Optional.empty() : Optional.of(HeadDefect.REASON_PHRASE);
    }

    private Optional<HeadDefect> findFieldDefect(String name, String lowerCaseName, String value) {
        if (StatusLinePattern.isWithinField(name, value)) {
            return Optional.of(HeadDefect.SECOND_STATUS_LINE);
        }
        if (!Tokens.isToken(name)) {
            return Optional.of(HeadDefect.FIELD_NAME);
        }
        if (!isText(value)) {
            return Optional.of(HeadDefect.FIELD_VALUE);
        }
        return switch (lowerCaseName) {
            case "transfer-encoding" ->
                    value.strip().equalsIgnoreCase("chunked")
                            ? Optional.empty()
                            : Optional.of(HeadDefect.TRANSFER_CODING);
            case "connection" ->
                    Stream.of(lowerCase(value).split(","))
                                    .map(String::strip)
                                    .anyMatch(mIdentityFields::contains)
                            ? Optional.of(HeadDefect.CONNECTION_OPTION)
                            : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static Optional<HeadDefect> findOwnerDefect(String id, String requestId) {
        if (id.equals(requestId)) {
            return Optional.empty();
        }
        return Optional.of(id.isEmpty() ? HeadDefect.NO_REQUEST : HeadDefect.OTHER_REQUEST);
    }

    private static boolean isText(String value) {
        return value.chars().allMatch(c -> c >= ' ' && c != DELETE || c == '\t');
    }
}
