package org.fescuehollow.server.settings;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.membership.MembershipService;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.peer.PeerCodec;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.settings.SettingsEntry;
import org.fescuehollow.settings.SettingsSync;
import org.fescuehollow.wire.PeerProto;

/**
 * Spreads settings between nodes, and decides whether this node watches the platform.
 *
 * <p>Each failure domain has two watchers, picked by rendezvous hashing; the rest learn from other
 * nodes. A change is pushed to a few nodes at once; digests on the membership messages find what
 * was missed. Used on the node's loop.
 */
public final class SettingsSpreadService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "settings-spread";

    private static final int WATCHERS = 2;
    private static final int FANOUT = 3;
    private static final long COMPARE_EVERY_NANOS = Duration.ofMillis(500).toNanos();

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private final Map<String, Long> mCompared = new HashMap<>();
    private SettingsService mSettings;
    private FleetService mFleet;
    private PeerService mPeers;
    private SettingsSync mSpread;
    private long mPushes;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param metrics the process's metrics
     */
    public SettingsSpreadService(NodeConfig config, NodeLoop loop, Metrics metrics) {
        mConfig = config;
        mLoop = loop;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mSettings = kernel.find(SettingsService.NAME, SettingsService.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mPeers = kernel.find(PeerService.NAME, PeerService.class);
        mSpread = new SettingsSync(mSettings.store());
        MembershipService membership = kernel.find(MembershipService.NAME, MembershipService.class);
        mLoop.run(
                () -> {
                    mSettings.onChange(this::push);
                    mFleet.onChange(this::chooseWatchers);
                    membership.onOtherSettings(this::compare);
                    mPeers.onNews(PeerProto.Frame.BodyCase.SETTINGS_PUSH, this::pushed);
                    mPeers.onNews(PeerProto.Frame.BodyCase.SETTINGS_SUMMARY, this::summarised);
                    mPeers.onNews(PeerProto.Frame.BodyCase.SETTINGS_OFFER, this::offered);
                    mPeers.onNews(PeerProto.Frame.BodyCase.SETTINGS_WANT, this::wanted);
                    chooseWatchers();
                });
    }

    private void chooseWatchers() {
        List<String> domain =
                mFleet.liveNodes().stream()
                        .filter(n -> mConfig.domain().equals(domainOf(n)))
                        .sorted(Comparator.comparingLong(n -> Rendezvous.hash("watch/" + n)))
                        .limit(WATCHERS)
                        .toList();
        if (domain.isEmpty() || domain.contains(mConfig.nodeId())) {
            mSettings.watch();
        } else {
            mSettings.unwatch();
        }
    }

    private String domainOf(String node) {
        return mFleet.view().vms().find(node).map(Vm::domain).orElse("");
    }

    private void push(SettingsEntry entry) {
        PeerProto.Frame frame =
                PeerProto.Frame.newBuilder()
                        .setSettingsPush(PeerCodec.push(List.of(entry)))
                        .build();
        long key = Rendezvous.hash(entry.path()) + entry.revision().number() + mPushes++;
        mFleet.liveNodes().stream()
                .filter(n -> !n.equals(mConfig.nodeId()))
                .sorted(Comparator.comparingLong(n -> Rendezvous.weight(key, Rendezvous.hash(n))))
                .limit(FANOUT)
                .forEach(n -> send(n, frame));
    }

    private void send(String node, PeerProto.Frame frame) {
        mMetrics.sentControl(frame.getSerializedSize());
        mPeers.send(node, frame);
    }

    private void compare(String node) {
        long now = mLoop.now();
        Long last = mCompared.get(node);
        if (last != null && now - last < COMPARE_EVERY_NANOS) {
            return;
        }
        mCompared.put(node, now);
        send(
                node,
                PeerProto.Frame.newBuilder()
                        .setSettingsSummary(
                                PeerProto.SettingsSummary.newBuilder()
                                        .addAllBuckets(mSpread.summary()))
                        .build());
    }

    private void pushed(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        PeerCodec.entries(frame.getSettingsPush()).forEach(mSettings::merge);
    }

    private void summarised(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        mSpread.createOffer(frame.getSettingsSummary().getBucketsList())
                .map(o -> PeerProto.Frame.newBuilder().setSettingsOffer(PeerCodec.offer(o)).build())
                .ifPresent(reply);
    }

    private void offered(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        SettingsSync.Delta exchange = mSpread.compare(PeerCodec.offer(frame.getSettingsOffer()));
        if (!exchange.push().isEmpty()) {
            reply.accept(
                    PeerProto.Frame.newBuilder()
                            .setSettingsPush(PeerCodec.push(exchange.push()))
                            .build());
        }
        if (!exchange.pull().isEmpty()) {
            reply.accept(
                    PeerProto.Frame.newBuilder()
                            .setSettingsWant(
                                    PeerProto.SettingsWant.newBuilder()
                                            .addAllPaths(exchange.pull()))
                            .build());
        }
    }

    private void wanted(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        List<SettingsEntry> entries = mSpread.entriesOf(frame.getSettingsWant().getPathsList());
        reply.accept(PeerProto.Frame.newBuilder().setSettingsPush(PeerCodec.push(entries)).build());
    }

    @Override
    public void stop() {}

    @Override
    public Object dump() {
        return new TreeMap<>(Map.of("pushes", mPushes, "compared_with", mCompared.size()));
    }
}
