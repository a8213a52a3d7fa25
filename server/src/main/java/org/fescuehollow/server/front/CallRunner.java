package org.fescuehollow.server.front;

import java.util.Optional;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;

/** Runs a caller's call, once if it must not repeat. Used on the node's loop. */
public interface CallRunner {
    /**
     * Runs a call or replays what became of it.
     *
     * @param call the call
     * @param key the caller's idempotency key, if any
     * @param sink receives the answer
     * @return withdraws the call; one that must not repeat runs on after it has been sent
     */
    CallHandle run(Call call, Optional<String> key, AnswerSink sink);

    /**
     * Makes a ticket never used before.
     *
     * @return an idempotency key
     */
    String mint();
}
