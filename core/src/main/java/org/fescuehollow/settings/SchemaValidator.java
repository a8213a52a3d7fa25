package org.fescuehollow.settings;

import static org.fescuehollow.error.ShouldBeValidSettings.shouldBeValidSettings;

import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.concurrent.ConcurrentHashMap;
import org.fescuehollow.error.FescuehollowException;

/**
 * Validates documents against JSON schemas from the class path.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class SchemaValidator {
    private static final ConcurrentHashMap<String, SchemaValidator> CACHE =
            new ConcurrentHashMap<>();

    private final JsonSchema mSchema;

    private SchemaValidator(JsonSchema schema) {
        mSchema = schema;
    }

    /**
     * Returns the validator of a schema.
     *
     * @param name the name of the schema resource without directory and extension
     * @return the validator, cached by name
     * @throws IllegalStateException if there is no such resource
     */
    public static SchemaValidator of(String name) {
        return CACHE.computeIfAbsent(name, SchemaValidator::load);
    }

    private static SchemaValidator load(String name) {
        String resource = "/schemas/" + name + ".json";
        try (InputStream in = SchemaValidator.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new IllegalStateException("expected resource " + resource + ", got nothing");
            }
            return new SchemaValidator(
                    JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Validates a document.
     *
     * @param place the file or settings path, for error messages
     * @param doc the document
     * @throws FescuehollowException with the line of a violation if there is any; of several
     *     violations, the one whose message sorts first
     */
    public void validate(String place, YamlDocument doc) {
        mSchema.validate(doc.tree()).stream()
                .min(Comparator.comparing(ValidationMessage::getMessage))
                .ifPresent(violation -> fail(place, doc, violation));
    }

    private static void fail(String place, YamlDocument doc, ValidationMessage violation) {
        String pointer = violation.getInstanceLocation().toString().replace("$", "");
        String path = pointer.replaceAll("\\.([^.\\[]+)", "/$1").replaceAll("\\[(\\d+)]", "/$1");
        throw new FescuehollowException(
                shouldBeValidSettings(place, doc.lineOf(path), violation.getMessage()));
    }
}
