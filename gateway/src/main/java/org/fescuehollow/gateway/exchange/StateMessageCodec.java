package org.fescuehollow.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.dispatch.EngineLoad;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.wire.ExchangeProto.Adapter;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.EngineWant;
import org.fescuehollow.wire.ExchangeProto.EngineWork;

/** Turns the product's types into messages between nodes and back. Stateless. */
final class StateMessageCodec {
    private StateMessageCodec() {}

    static Adapter adapter(AdapterKey key, long version) {
        return Adapter.newBuilder()
                .setModel(key.model())
                .setName(key.adapter())
                .setVersion(version)
                .build();
    }

    static AdapterKey key(Adapter adapter) {
        return new AdapterKey(adapter.getModel(), adapter.getName());
    }

    static EngineWork work(String engine, EngineLoad.Work work, Set<AdapterKey> adapters) {
        return EngineWork.newBuilder()
                .setEngine(engine)
                .setRunning(work.running())
                .setUnreadTokens(work.pendingPrefillTokens())
                .setCacheTokens(work.kvCacheTokens())
                .addAllAdapters(adapters.stream().map(a -> adapter(a, 0)).toList())
                .build();
    }

    /** Leaves out the adapters, which are most of the bytes. */
    static EngineWork withoutAdapters(EngineWork work) {
        return work.toBuilder().clearAdapters().build();
    }

    static EngineLoad.Work work(EngineWork work) {
        return new EngineLoad.Work(
                work.getRunning(), work.getUnreadTokens(), work.getCacheTokens());
    }

    static Set<AdapterKey> adapters(EngineWork work) {
        return work.getAdaptersList().stream()
                .map(StateMessageCodec::key)
                .collect(Collectors.toSet());
    }

    static EngineWant want(String engine, AdapterDemand want, long now) {
        long patience = Duration.ofNanos(want.deadlineNanos() - now).toMillis();
        return EngineWant.newBuilder()
                .setEngine(engine)
                .setAdapter(adapter(want.adapter(), want.minVersion()))
                .setRank(want.priority())
                .setPatienceMs((int) Math.max(0, patience))
                .build();
    }

    static AdapterDemand want(EngineWant want, long now) {
        return new AdapterDemand(
                key(want.getAdapter()),
                want.getAdapter().getVersion(),
                want.getRank(),
                now + Duration.ofMillis(want.getPatienceMs()).toNanos());
    }

    static EngineHolding holding(String engine, Holding holding, EngineLoad.Work total) {
        Map<AdapterKey, Long> adapters = holding.adapters();
        return EngineHolding.newBuilder()
                .setEngine(engine)
                .setFence(holding.fence())
                .setSpare(holding.spare())
                .setInTransit(holding.inTransit())
                .setTotal(work(engine, total, Set.of()))
                .addAllComing(holding.coming().stream().map(a -> adapter(a, 0)).toList())
                .addAllAdapters(
                        adapters.entrySet().stream()
                                .map(e -> adapter(e.getKey(), e.getValue()))
                                .toList())
                .build();
    }

    static Holding holding(EngineHolding holding) {
        Map<AdapterKey, Long> ready = new HashMap<>();
        holding.getAdaptersList().forEach(a -> ready.put(key(a), a.getVersion()));
        Set<AdapterKey> coming =
                holding.getComingList().stream()
                        .map(StateMessageCodec::key)
                        .collect(Collectors.toSet());
        return new Holding(
                holding.getFence(), ready, coming, holding.getInTransit(), holding.getSpare());
    }
}
