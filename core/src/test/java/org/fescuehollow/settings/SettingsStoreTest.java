package org.fescuehollow.settings;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fescuehollow.model.Priority;
import org.junit.jupiter.api.Test;

class SettingsStoreTest {
    private static final String VALID = "loads_per_second: 4\nin_transit: 8\n";
    private static final String INVALID = "loads_per_second: four\nin_transit: 8\n";

    @Test
    void merge_keepsTheHighestRevision() {
        // GIVEN
        SettingsStore store = new SettingsStore();
        store.merge(SettingsEntry.value("store", 7, VALID));
        // WHEN
        boolean changed = store.merge(SettingsEntry.value("store", 6, VALID.replace("4", "9")));
        // THEN
        then(changed).isFalse();
        then(store.view().store().loadsPerSecond()).isEqualTo(4);
    }

    @Test
    void merge_doesNotRestoreADeletedValue() {
        // GIVEN
        SettingsStore store = new SettingsStore();
        store.merge(SettingsEntry.deletion("services/loket", 5));
        // WHEN
        store.merge(SettingsEntry.value("services/loket", 4, "kind: plain"));
        // THEN
        then(store.view().service("loket")).isEmpty();
    }

    @Test
    void merge_keepsTheAcceptedValueWhenTheNewestIsInvalid() {
        // GIVEN
        SettingsStore store = new SettingsStore();
        store.merge(SettingsEntry.value("store", 2, VALID));
        // WHEN
        store.merge(SettingsEntry.value("store", 3, INVALID));
        // THEN
        then(store.view().store().inTransit()).isEqualTo(8);
        then(store.paths().get("store").refusal()).isPresent();
        then(store.paths().get("store").newest().revision()).isEqualTo(new Revision(3));
    }

    @Test
    void merge_refusesAnInvalidValueWithoutAffectingOtherTeams() {
        // GIVEN
        SettingsStore store = new SettingsStore();
        store.merge(SettingsEntry.value("teams/a/traffic", 1, "priority: first"));
        // WHEN
        store.merge(SettingsEntry.value("teams/b/traffic", 2, "priority: bulk"));
        // THEN
        then(store.view().traffic("a")).isEqualTo(TeamTraffic.DEFAULT);
        then(store.view().traffic("b").priority()).isEqualTo(Priority.BULK);
    }

    @Property(tries = 300, seed = "20261204")
    void merge_isIndependentOfOrder(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 9) Integer> revisions,
            @ForAll long seed) {
        // GIVEN
        List<SettingsEntry> entries = revisions.stream().map(SettingsStoreTest::entryOf).toList();
        List<SettingsEntry> shuffled = new ArrayList<>(entries);
        Collections.shuffle(shuffled, new Random(seed));
        SettingsStore one = new SettingsStore();
        SettingsStore other = new SettingsStore();
        // WHEN
        entries.forEach(one::merge);
        shuffled.forEach(other::merge);
        // THEN
        then(other.paths()).isEqualTo(one.paths());
        then(other.digest()).isEqualTo(one.digest());
        then(other.view().store()).isEqualTo(one.view().store());
    }

    private static SettingsEntry entryOf(int revision) {
        return switch (revision % 3) {
            case 0 -> SettingsEntry.deletion("store", revision);
            case 1 -> SettingsEntry.value("store", revision, INVALID);
            default -> SettingsEntry.value("store", revision, VALID.replace("8", "" + revision));
        };
    }
}
