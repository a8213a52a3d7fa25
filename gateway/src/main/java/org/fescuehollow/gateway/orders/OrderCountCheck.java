package org.fescuehollow.gateway.orders;

/**
 * Decides whether the order count in an engine's report is current. Reports may be old, so a count
 * is current only if no order was sent since the previous report was requested.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class OrderCountCheck {
    private int mOrdersSent;
    private int mOrdersSentAtLastReport = -1;

    void onOrderSent() {
        mOrdersSent++;
    }

    int ordersSent() {
        return mOrdersSent;
    }

    /**
     * Records that a report was received.
     *
     * @param sentAtRequest the number of orders sent when the report was requested
     * @return whether the order count of the report is current
     */
    boolean onReport(int sentAtRequest) {
        boolean isCurrent =
                sentAtRequest == mOrdersSent && sentAtRequest == mOrdersSentAtLastReport;
        mOrdersSentAtLastReport = sentAtRequest;
        return isCurrent;
    }
}
