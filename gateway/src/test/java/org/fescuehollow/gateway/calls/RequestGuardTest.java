package org.fescuehollow.gateway.calls;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Handler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;
import org.fescuehollow.gateway.node.NodeContext;
import org.junit.jupiter.api.Test;

/**
 * Guards against an exception that leaves its request without an answer or meets other requests.
 */
class RequestGuardTest {
    private final GatewayMetrics mMetrics = new GatewayMetrics();
    private final EventLog mLog = new EventLog(new PrintStream(new ByteArrayOutputStream()));
    private final NodeContext mNode =
            new NodeContext(null, null, null, null, null, null, mLog, mMetrics);
    private final List<Throwable> mFailures = new ArrayList<>();
    private final RequestGuard mGuard = new RequestGuard(mNode, "id-1", mFailures::add);

    private static void fail() {
        throw new IllegalStateException("odd");
    }

    private static int recurse(int depth) {
        return recurse(depth + 1) + recurse(depth + 2);
    }

    @Test
    void run_passesAnExceptionToTheListenerOnly() {
        mGuard.run(RequestGuardTest::fail);
        then(mFailures).singleElement().isInstanceOf(IllegalStateException.class);
    }

    @Test
    void run_handlesAnOverflowOfTheStack() {
        mGuard.run(() -> recurse(0));
        then(mFailures).singleElement().isInstanceOf(StackOverflowError.class);
    }

    @Test
    void test_returnsTrueAfterAnException() {
        then(mGuard.test(
                        () -> {
                            fail();
                            return false;
                        }))
                .isTrue();
        then(mGuard.test(() -> false)).isFalse();
    }

    @Test
    void handler_passesEventsOn() {
        List<String> events = new ArrayList<>();
        Handler<String> handler = events::add;
        mGuard.handler(handler).handle("a");
        then(events).containsExactly("a");
        then(mFailures).isEmpty();
    }

    @Test
    void run_doesNotNotifyTheListenerOfItsOwnExceptions() {
        RequestGuard[] guard = new RequestGuard[1];
        guard[0] =
                new RequestGuard(
                        mNode,
                        "id-2",
                        e -> {
                            mFailures.add(e);
                            guard[0].run(RequestGuardTest::fail);
                            fail();
                        });
        guard[0].run(RequestGuardTest::fail);
        then(mFailures).hasSize(1);
    }
}
