package org.fescuehollow.gateway.orders;

/**
 * Tells whether the count of orders in an engine's report is current. Reports are old, so a count
 * stands only if no order was sent since the report before.
 *
 * <p>Used on the node's loop.
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
     * Takes that a report came.
     *
     * @param sentWhenAsked the orders sent by the time it was asked for
     * @return true if its count stands
     */
    boolean onReport(int sentWhenAsked) {
        boolean stands = sentWhenAsked == mOrdersSent && sentWhenAsked == mOrdersSentAtLastReport;
        mOrdersSentAtLastReport = sentWhenAsked;
        return stands;
    }
}
