package org.fescuehollow.settings;

import static org.assertj.core.api.Assertions.catchThrowable;
import static org.assertj.core.api.BDDAssertions.then;

import org.fescuehollow.error.FescuehollowException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsParserTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "teams/a/access|keys: [abc]|teams/a/access:1",
                "teams/a/traffic|priority: bulk\\nweight: 0|teams/a/traffic:2",
                "services/x|kind: model\\nslots: many|services/x:2",
                "store|loads_per_second: 1\\nin_transit: 1\\nshares: {a: 0.7, b: 0.7}|store:3",
                "nowhere|a: b|expected teams/NAME/access",
                "store|a: [|expected YAML",
            })
    void parse_reportsPlaceAndLineOfTheError(String path, String text, String expected) {
        // WHEN
        Throwable thrown =
                catchThrowable(() -> SettingsParser.parse(path, text.replace("\\n", "\n")));
        // THEN
        then(thrown).isInstanceOf(FescuehollowException.class).hasMessageContaining(expected);
    }
}
