package org.fescuehollow.responses;

/** The tokens of HTTP, such as names of fields. Stateless. */
final class Tokens {
    private static final String SYMBOLS = "!#$%&'*+-.^_`|~";

    private Tokens() {}

    static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(Tokens::isTokenChar);
    }

    private static boolean isTokenChar(int c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || SYMBOLS.indexOf(c) >= 0;
    }
}
