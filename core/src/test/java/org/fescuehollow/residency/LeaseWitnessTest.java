package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LeaseWitnessTest {
    private static final long LEASE_MILLIS = 3_000;

    /** The lease, a quarter of it without confirmation, and the margin for delays. */
    private static final long EXCLUSIVE_MILLIS = 4_050;

    private final LeaseWitness mWitness = new LeaseWitness(LEASE_MILLIS, 0);

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private boolean grants(String node, long millis) {
        return mWitness.request("e", node, nanos(millis), 0, nanos(millis)).isPresent();
    }

    /** Guards against a witness that forgot, by a restart, which node it granted a lease. */
    @Test
    void request_isRefusedSoonAfterTheStart() {
        then(grants("a", EXCLUSIVE_MILLIS - 1)).isFalse();
        then(grants("a", EXCLUSIVE_MILLIS)).isTrue();
    }

    @Test
    void request_isGrantedToOneNodeAtATime() {
        then(grants("a", 5_000)).isTrue();
        then(grants("b", 5_000)).isFalse();
        then(grants("a", 6_000)).isTrue();
        then(grants("b", 6_000 + EXCLUSIVE_MILLIS - 1)).isFalse();
        then(grants("b", 6_000 + EXCLUSIVE_MILLIS)).isTrue();
        then(grants("a", 6_000 + EXCLUSIVE_MILLIS)).isFalse();
    }

    @Test
    void request_isDecidedForEachEngine() {
        then(grants("a", 5_000)).isTrue();
        then(mWitness.request("f", "b", 0, 0, nanos(5_000))).isPresent();
    }

    @Test
    void request_returnsTheHighestFenceOfAllNodes() {
        then(mWitness.request("e", "a", 0, 7, nanos(5_000))).hasValue(7);
        then(mWitness.request("e", "a", 0, 6, nanos(5_100))).hasValue(7);
        then(mWitness.request("e", "b", 0, 2, nanos(10_000))).hasValue(7);
    }

    @Test
    void onWithdrawn_freesTheLease() {
        then(grants("a", 5_000)).isTrue();
        mWitness.onWithdrawn("e", "b", nanos(5_400), nanos(5_400));
        then(grants("b", 5_400)).isFalse();
        mWitness.onWithdrawn("e", "a", nanos(5_400), nanos(5_400));
        then(grants("b", 5_400)).isTrue();
    }

    /** Guards against a late withdrawal that frees a lease which was asked for again. */
    @Test
    void onWithdrawn_doesNotConcernALaterRequest() {
        then(grants("a", 6_000)).isTrue();
        mWitness.onWithdrawn("e", "a", nanos(5_900), nanos(6_100));
        then(grants("b", 6_100)).isFalse();
    }

    @Test
    void onReleased_shortensTheWaitToTheLease() {
        then(grants("a", 5_000)).isTrue();
        mWitness.onReleased("a", nanos(5_000));
        then(grants("b", 5_000 + LEASE_MILLIS)).isFalse();
        then(grants("b", 5_300 + LEASE_MILLIS)).isTrue();
    }
}
