package org.fescuehollow.settings;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class SettingsSpreadTest {
    private static final String SERVICE = "kind: plain\nbatch: %d\n";

    private final SettingsStore mOne = new SettingsStore();
    private final SettingsStore mOther = new SettingsStore();

    @Test
    void exchange_bringsBothToTheHigherRevisions() {
        // GIVEN
        mOne.merge(SettingsEntry.value("services/a", 3, SERVICE.formatted(3)));
        mOther.merge(SettingsEntry.value("services/a", 2, SERVICE.formatted(2)));
        mOther.merge(SettingsEntry.deletion("services/b", 4));
        mOne.merge(SettingsEntry.value("services/b", 1, SERVICE.formatted(1)));
        // WHEN
        exchange();
        // THEN
        then(mOne.paths()).isEqualTo(mOther.paths());
        then(mOne.view().service("a").orElseThrow().batch()).isEqualTo(3);
        then(mOther.view().service("b")).isEmpty();
    }

    @Test
    void exchange_carriesTheAcceptedValueBesideARefusedOne() {
        // GIVEN
        mOne.merge(SettingsEntry.value("services/a", 1, SERVICE.formatted(7)));
        mOne.merge(SettingsEntry.value("services/a", 2, "kind: unheard-of"));
        // WHEN
        exchange();
        // THEN
        then(mOther.view().service("a").orElseThrow().batch()).isEqualTo(7);
        then(mOther.paths()).isEqualTo(mOne.paths());
    }

    @Test
    void offer_isEmptyWhenNothingDiffers() {
        then(new SettingsSpread(mOne).offer(new SettingsSpread(mOther).summary())).isEmpty();
    }

    private void exchange() {
        SettingsSpread one = new SettingsSpread(mOne);
        SettingsSpread other = new SettingsSpread(mOther);
        SettingsSpread.Offer offer = other.offer(one.summary()).orElseThrow();
        SettingsSpread.Exchange found = one.compare(offer);
        found.push().forEach(mOther::merge);
        other.entries(found.want()).forEach(mOne::merge);
    }
}
