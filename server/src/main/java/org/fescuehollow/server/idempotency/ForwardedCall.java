package org.fescuehollow.server.idempotency;

import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldHaveKnownOutcome;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.ForwardingSink;
import org.fescuehollow.server.peer.PeerService;

/**
 * A call whose ticket another node answers for, on its way to that node.
 *
 * <p>Invariants: the call is never run by the node that forwards it; once a node may have taken it,
 * no other is asked. Used on the node's loop.
 */
final class ForwardedCall {
    private final PeerService mPeers;
    private final Deque<String> mHolders;
    private final Ticket mTicket;
    private final Call mCall;
    private final AnswerSink mSink;
    private CallHandle mCurrent = () -> {};

    ForwardedCall(
            PeerService peers, List<String> holders, Ticket ticket, Call call, AnswerSink sink) {
        mPeers = peers;
        mHolders = new ArrayDeque<>(holders);
        mTicket = ticket;
        mCall = call;
        mSink = sink;
    }

    CallHandle begin() {
        askNext();
        return () -> mCurrent.cancel();
    }

    private void askNext() {
        String holder = mHolders.poll();
        if (holder == null) {
            mSink.failed(
                    shouldHaveKnownOutcome("no node that answers for its ticket can be reached"));
            return;
        }
        mCurrent = mPeers.runTicket(holder, mTicket.toString(), mCall, new HolderSink());
    }

    /** Receives the answer of the node that was asked. Used on the node's loop. */
    private final class HolderSink extends ForwardingSink {
        HolderSink() {
            super(mSink);
        }

        @Override
        public void failed(Problem problem) {
            if (problem.code() == ErrorCode.UNREACHABLE && problem.runState() == RunState.NOT_RUN) {
                askNext();
            } else {
                mSink.failed(problem);
            }
        }

        @Override
        public void declined(Quote quote) {
            askNext();
        }
    }
}
