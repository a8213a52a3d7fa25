package org.fescuehollow.settings;

import static org.fescuehollow.error.ShouldBeValidSettings.shouldBeValidSettings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.error.FescuehollowException;

/**
 * A parsed YAML text with the line of each of its members.
 *
 * <p>Immutable; the tree must not be changed. Safe for use by any thread.
 */
public final class YamlDocument {
    private static final YAMLMapper MAPPER = new YAMLMapper();

    private final JsonNode mTree;
    private final Map<String, Integer> mLines;

    private YamlDocument(JsonNode tree, Map<String, Integer> lines) {
        mTree = tree;
        mLines = lines;
    }

    /**
     * Parses a text.
     *
     * @param place the file or settings path, for error messages
     * @param text the YAML text
     * @return the document
     * @throws FescuehollowException if the text is empty or isn't YAML
     */
    public static YamlDocument read(String place, String text) {
        try {
            JsonNode tree = MAPPER.readTree(text);
            if (tree == null || tree.isMissingNode()) {
                throw new FescuehollowException(
                        shouldBeValidSettings(place, 1, "expected a YAML mapping, got nothing"));
            }
            return new YamlDocument(tree, readLines(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new FescuehollowException(
                    shouldBeValidSettings(
                            place, line, "expected YAML, got " + e.getOriginalMessage()));
        } catch (IOException | StackOverflowError e) {
            throw new FescuehollowException(
                    shouldBeValidSettings(place, 0, "expected YAML, got " + e));
        }
    }

    private static Map<String, Integer> readLines(String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            for (JsonToken t = parser.nextToken(); t != null; t = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        }
        return Map.copyOf(lines);
    }

    /**
     * Returns the tree.
     *
     * @return the root, which callers must not change
     */
    public JsonNode tree() {
        return mTree;
    }

    /**
     * Returns the line of a member.
     *
     * @param pointer a JSON pointer such as {@code /keys/0}
     * @return the line, counted from one; that of the nearest ancestor if the member doesn't exist
     */
    public int lineOf(String pointer) {
        String ancestor = pointer;
        while (!ancestor.isEmpty() && !mLines.containsKey(ancestor)) {
            ancestor = ancestor.substring(0, Math.max(0, ancestor.lastIndexOf('/')));
        }
        return mLines.getOrDefault(ancestor, 1);
    }
}
