package org.fescuehollow.server.testsupport;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for what other threads bring about. */
public final class Await {
    private static final long GIVE_UP_NANOS = Duration.ofSeconds(60).toNanos();

    private Await() {}

    public static void until(BooleanSupplier condition) {
        long end = System.nanoTime() + GIVE_UP_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("expected the condition to come true, it did not");
            }
            LockSupport.parkNanos(2_000_000);
        }
    }
}
