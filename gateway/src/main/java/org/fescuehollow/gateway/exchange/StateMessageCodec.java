package org.fescuehollow.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.dispatch.EngineLoad;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.suspects.CrashSuspicion;
import org.fescuehollow.wire.ExchangeProto.Adapter;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.EngineLeaving;
import org.fescuehollow.wire.ExchangeProto.EngineWant;
import org.fescuehollow.wire.ExchangeProto.EngineWork;
import org.fescuehollow.wire.ExchangeProto.PeerSeen;
import org.fescuehollow.wire.ExchangeProto.TraitCrash;
import org.fescuehollow.wire.ExchangeProto.TraitSuspicion;

/** Converts between domain types and the state messages of nodes. Stateless. */
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

    /** Removes the adapters, which make up most of the bytes. */
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

    static EngineLeaving leaving(Engine engine) {
        return EngineLeaving.newBuilder()
                .setEngine(engine.id())
                .setStartedMs(engine.startedMillis())
                .build();
    }

    static EngineWant demand(String engine, AdapterDemand demand, long now) {
        long remainingMillis = Duration.ofNanos(demand.deadlineNanos() - now).toMillis();
        return EngineWant.newBuilder()
                .setEngine(engine)
                .setAdapter(adapter(demand.adapter(), demand.minVersion()))
                .setRank(demand.priority())
                .setPatienceMs((int) Math.max(0, remainingMillis))
                .build();
    }

    static AdapterDemand demand(EngineWant want, long now) {
        return new AdapterDemand(
                key(want.getAdapter()),
                want.getAdapter().getVersion(),
                want.getRank(),
                now + Duration.ofMillis(want.getPatienceMs()).toNanos());
    }

    static PeerSeen seen(Peer peer) {
        return PeerSeen.newBuilder()
                .setNode(peer.name())
                .setDomain(peer.domain())
                .setIp(peer.ip())
                .build();
    }

    static TraitSuspicion suspicion(CrashSuspicion suspicion, long now) {
        TraitSuspicion.Builder message = TraitSuspicion.newBuilder().setTrait(suspicion.trait());
        suspicion
                .crashes()
                .forEach(
                        (crash, nanos) ->
                                message.addCrashes(
                                        TraitCrash.newBuilder()
                                                .setCrash(crash)
                                                .setMsAgo(
                                                        (int)
                                                                Duration.ofNanos(now - nanos)
                                                                        .toMillis())
                                                .setRefuted(suspicion.refuted().contains(crash))));
        return message.build();
    }

    static CrashSuspicion suspicion(TraitSuspicion message, long now) {
        Map<Long, Long> crashes = new HashMap<>();
        Set<Long> refuted = new HashSet<>();
        for (TraitCrash c : message.getCrashesList()) {
            crashes.put(c.getCrash(), now - Duration.ofMillis(c.getMsAgo()).toNanos());
            if (c.getRefuted()) {
                refuted.add(c.getCrash());
            }
        }
        return new CrashSuspicion(message.getTrait(), crashes, refuted);
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
        Map<AdapterKey, Long> loaded = new HashMap<>();
        holding.getAdaptersList().forEach(a -> loaded.put(key(a), a.getVersion()));
        Set<AdapterKey> loading =
                holding.getComingList().stream()
                        .map(StateMessageCodec::key)
                        .collect(Collectors.toSet());
        return new Holding(
                holding.getFence(), loaded, loading, holding.getInTransit(), holding.getSpare());
    }
}
