package org.fescuehollow.settings;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class SettingsSyncTest {
    private static final String SERVICE = "kind: plain\nbatch: %d\n";

    private final SettingsStore mOne = new SettingsStore();
    private final SettingsStore mOther = new SettingsStore();

    @Test
    void sync_bringsBothStoresToTheHigherRevisions() {
        // GIVEN
        mOne.merge(SettingsEntry.value("services/a", 3, SERVICE.formatted(3)));
        mOther.merge(SettingsEntry.value("services/a", 2, SERVICE.formatted(2)));
        mOther.merge(SettingsEntry.deletion("services/b", 4));
        mOne.merge(SettingsEntry.value("services/b", 1, SERVICE.formatted(1)));
        // WHEN
        synchronize();
        // THEN
        then(mOne.paths()).isEqualTo(mOther.paths());
        then(mOne.view().service("a").orElseThrow().batch()).isEqualTo(3);
        then(mOther.view().service("b")).isEmpty();
    }

    @Test
    void sync_sendsTheAcceptedValueAlongWithARefusedOne() {
        // GIVEN
        mOne.merge(SettingsEntry.value("services/a", 1, SERVICE.formatted(7)));
        mOne.merge(SettingsEntry.value("services/a", 2, "kind: unheard-of"));
        // WHEN
        synchronize();
        // THEN
        then(mOther.view().service("a").orElseThrow().batch()).isEqualTo(7);
        then(mOther.paths()).isEqualTo(mOne.paths());
    }

    @Test
    void createOffer_isEmptyWhenNothingDiffers() {
        then(new SettingsSync(mOne).createOffer(new SettingsSync(mOther).summary())).isEmpty();
    }

    private void synchronize() {
        SettingsSync one = new SettingsSync(mOne);
        SettingsSync other = new SettingsSync(mOther);
        SettingsSync.Offer offer = other.createOffer(one.summary()).orElseThrow();
        SettingsSync.Delta delta = one.compare(offer);
        delta.push().forEach(mOther::merge);
        other.entriesOf(delta.pull()).forEach(mOne::merge);
    }
}
