package org.fescuehollow.server.call;

import org.fescuehollow.model.Vm;

/** Reaches the coordinator of a backend server, here or on another node. Used on the loop. */
public interface CoordinatorPort {
    /**
     * Submits one attempt.
     *
     * @param server the backend server
     * @param call the call
     * @param firmness how firmly to ask
     * @param sink receives the answer
     * @return withdraws the attempt
     */
    CallHandle submit(Vm server, Call call, Firmness firmness, AnswerSink sink);
}
