package org.fescuehollow.gateway.exchange;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.dispatch.EngineRates;
import org.fescuehollow.dispatch.EngineRates.EngineWord;
import org.fescuehollow.dispatch.RateWord;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.wire.ExchangeProto.EngineRate;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Tells the other nodes which rates engines name, and learns it from them, so that nodes that don't
 * use an engine hear when it takes more again.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
public final class RateExchange {
    private final NodeContext mContext;
    private final EngineRates mRates;
    private final Consumer<Consumer<NodeNews.Builder>> mSender;

    /**
     * Creates the exchange.
     *
     * @param context the context of the node
     * @param rates the rates, which those that other nodes hear are added to
     * @param sender sends a message with the given content to all live nodes
     */
    RateExchange(
            NodeContext context, EngineRates rates, Consumer<Consumer<NodeNews.Builder>> sender) {
        mContext = context;
        mRates = rates;
        mSender = sender;
    }

    /**
     * Handles a response of an engine, and tells the other nodes if it changes what is in force.
     *
     * @param engine the engine
     * @param perSecond the requests per second that it takes from all nodes, if it names a rate
     */
    public void onResponse(Engine engine, OptionalDouble perSecond) {
        long now = mContext.clock().now();
        mRates.onResponse(engine, perSecond, now)
                .ifPresent(
                        word -> {
                            mSender.accept(m -> m.addRates(encode(word, now)));
                            logChange(engine, "response");
                        });
    }

    /** Handles what another node tells. */
    void onReceived(List<EngineRate> rates, CatalogService catalog) {
        long now = mContext.clock().now();
        for (EngineRate r : rates) {
            catalog.engine(r.getEngine())
                    .filter(e -> mRates.onTold(e, decode(r, now), now))
                    .ifPresent(e -> logChange(e, "node"));
        }
    }

    /** Adds what engines said lately to a full state message. */
    void addTo(NodeNews.Builder message, long now) {
        mRates.words(now).forEach(w -> message.addRates(encode(w, now)));
    }

    private void logChange(Engine engine, String source) {
        Double perSecond = mRates.inForce().get(engine.id());
        mContext.metrics().countEvent("engine_rate");
        mContext.log()
                .event(
                        "engine_rate",
                        "engine",
                        engine.id(),
                        "per_second",
                        perSecond == null ? "" : perSecond,
                        "source",
                        source);
    }

    private static EngineRate encode(EngineWord told, long now) {
        RateWord word = told.word();
        EngineRate.Builder message =
                EngineRate.newBuilder().setEngine(told.engine()).setStartedMs(told.startedMillis());
        if (word.isNamed()) {
            message.setNamed(true)
                    .setPerSecond(word.perSecond())
                    .setNamedMsAgo(millis(now - word.namedNanos()));
        }
        if (word.isCleared()) {
            message.setCleared(true).setClearedMsAgo(millis(now - word.clearedNanos()));
        }
        return message.build();
    }

    private static EngineWord decode(EngineRate message, long now) {
        long namedNanos = now - nanos(message.getNamedMsAgo());
        RateWord named =
                message.getNamed()
                        ? RateWord.named(message.getPerSecond(), namedNanos)
                        : RateWord.NONE;
        RateWord word =
                message.getCleared()
                        ? named.cleared(now - nanos(message.getClearedMsAgo()))
                        : named;
        return new EngineWord(message.getEngine(), message.getStartedMs(), word);
    }

    private static int millis(long nanos) {
        return (int) Math.max(0, Duration.ofNanos(nanos).toMillis());
    }

    private static long nanos(int millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
