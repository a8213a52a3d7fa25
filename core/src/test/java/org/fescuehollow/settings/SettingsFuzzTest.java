package org.fescuehollow.settings;

import static org.assertj.core.api.BDDAssertions.then;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.fescuehollow.error.ErrorCode;

class SettingsFuzzTest {
    @Property(tries = 500, seed = "20261204")
    void merge_acceptsOrRefusesAnyText(
            @ForAll("paths") String path, @ForAll @StringLength(max = 200) String text) {
        thenAcceptedOrRefused(path, text);
    }

    @Property(tries = 500, seed = "20261205")
    void merge_acceptsOrRefusesAlmostValidText(
            @ForAll("paths") String path,
            @ForAll @IntRange(max = 150) int at,
            @ForAll @CharRange(from = ' ', to = '~') char c) {
        // GIVEN
        String valid =
                "keys: []\nadapters:\n  - {name: a, versions: [v1], service: s}\nservices: [x]\n"
                        + "priority: bulk\nweight: 2\nkind: model\nslots: 3\nin_transit: 1\n";
        StringBuilder text = new StringBuilder(valid);
        text.setCharAt(at % valid.length(), c);
        // WHEN / THEN
        thenAcceptedOrRefused(path, text.toString());
    }

    private static void thenAcceptedOrRefused(String path, String text) {
        SettingsStore store = new SettingsStore();
        store.merge(SettingsEntry.value("services/kept", 1, "kind: plain"));
        store.merge(SettingsEntry.value(path, 2, text));
        then(store.view().service("kept")).isPresent();
        store.paths()
                .get(path)
                .refusal()
                .ifPresent(p -> then(p.code()).isEqualTo(ErrorCode.INVALID_SETTINGS));
    }

    @Provide
    Arbitrary<String> paths() {
        return Arbitraries.of(
                "teams/a/access", "teams/a/traffic", "services/a", "store", "else/where", "teams/");
    }
}
