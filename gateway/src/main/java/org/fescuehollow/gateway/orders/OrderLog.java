package org.fescuehollow.gateway.orders;

import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.residency.AdapterOrder;
import org.fescuehollow.residency.OrderReply;

/** Logs and counts claims of engines and orders. Not thread-safe; used on the node's event loop. */
final class OrderLog {
    private final NodeContext mContext;

    OrderLog(NodeContext context) {
        mContext = context;
    }

    void logClaimed(String engine, int rank, long orderCount, long fence) {
        mContext.metrics().countEvent("reign_begun");
        mContext.log()
                .event(
                        "reign_begun",
                        "engine",
                        engine,
                        "rank",
                        rank,
                        "count",
                        orderCount,
                        "fence",
                        fence);
    }

    /** Logs the reply to an order; status queries are only counted. */
    void logReply(String engine, AdapterOrder order, OrderReply reply, long orderCount) {
        mContext.metrics().countOrder(order.action().name(), reply.name());
        if (!order.statusQuery()) {
            mContext.log()
                    .event(
                            "order",
                            "engine",
                            engine,
                            "action",
                            order.action(),
                            "adapter",
                            order.adapter(),
                            "reply",
                            reply,
                            "count",
                            orderCount);
        }
    }

    /** Logs why an order, which may be a status query, has no sound reply. */
    void logFailed(String engine, AdapterOrder order, Throwable cause) {
        mContext.log()
                .event(
                        "order_failed",
                        "engine",
                        engine,
                        "action",
                        order.action(),
                        "adapter",
                        order.adapter(),
                        "cause",
                        cause);
    }

    /** Logs and counts a report that was not received. */
    void logReportFailed(String engine, Throwable cause) {
        mContext.metrics().countEvent("report_failed");
        mContext.log().event("report_failed", "engine", engine, "cause", cause);
    }
}
