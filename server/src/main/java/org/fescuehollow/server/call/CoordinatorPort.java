package org.fescuehollow.server.call;

import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.Ask;

/** Reaches the coordinator of a backend server, here or on another node. Used on the loop. */
public interface CoordinatorPort {
    /**
     * Submits one attempt.
     *
     * @param server the backend server
     * @param call the call
     * @param ask how firmly to ask
     * @param sink receives the answer
     * @return withdraws the attempt
     */
    CallHandle submit(Vm server, Call call, Ask ask, AnswerSink sink);
}
