package org.fescuehollow.server.platform;

import static org.fescuehollow.error.ShouldBeWellFormed.shouldBeWellFormed;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.fescuehollow.error.FescuehollowException;

/** Reads and writes JSON by library. Stateless and safe for use by any thread. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private Json() {}

    /**
     * Reads a JSON object.
     *
     * @param place what is read, for errors
     * @param json the text
     * @return the object
     * @throws FescuehollowException if the text isn't a JSON object
     */
    public static ObjectNode read(String place, byte[] json) {
        try {
            JsonNode tree = MAPPER.readTree(json);
            if (tree instanceof ObjectNode object) {
                return object;
            }
            throw new FescuehollowException(
                    shouldBeWellFormed(place, "a JSON object", tree.getNodeType().toString()));
        } catch (JsonProcessingException e) {
            throw new FescuehollowException(
                    shouldBeWellFormed(place, "JSON", e.getOriginalMessage()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns a text member.
     *
     * @param place what is read, for errors
     * @param tree the object
     * @param member the member's name
     * @return the text, not empty
     * @throws FescuehollowException if the member is missing or no text
     */
    public static String text(String place, JsonNode tree, String member) {
        JsonNode value = tree.path(member);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new FescuehollowException(
                    shouldBeWellFormed(
                            place + " member '" + member + "'",
                            "a text",
                            value.isMissingNode() ? "nothing" : value.getNodeType().toString()));
        }
        return value.asText();
    }

    /**
     * Writes plain data.
     *
     * @param data maps, lists, texts and numbers, or a JSON tree
     * @return the JSON text
     */
    public static Buffer write(Object data) {
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(data));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns a new JSON object.
     *
     * @return an empty object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
