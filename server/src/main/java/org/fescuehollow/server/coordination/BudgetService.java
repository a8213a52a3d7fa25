package org.fescuehollow.server.coordination;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.placement.Permit;
import org.fescuehollow.placement.PermitPool;
import org.fescuehollow.placement.StoreShare;
import org.fescuehollow.placement.Urgency;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.peer.PeerCodec;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.wire.PeerProto;

/**
 * This node's permits for the weight store, and loans with other nodes.
 *
 * <p>Invariant: a loan's end is counted from when it was asked for, on the borrower's clock, so
 * that it ends there before its lender takes it back. Used on the node's loop.
 */
public final class BudgetService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "budget";

    private static final long TICK_MILLIS = 20;
    private static final long ANSWER_NANOS = Duration.ofMillis(200).toNanos();
    private static final int ASKED_AT_ONCE = 2;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final PermitPool mBank;
    private final Map<Long, Long> mAsked = new HashMap<>();
    private SettingsService mSettings;
    private FleetService mFleet;
    private PeerService mPeers;
    private Runnable mStopTicks = () -> {};
    private long mRequests;
    private long mLoans;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     */
    public BudgetService(NodeConfig config, NodeLoop loop) {
        mConfig = config;
        mLoop = loop;
        mBank =
                new PermitPool(
                        config.nodeId(),
                        loop.now(),
                        config.limits().loadMillis() * NANOS_PER_MILLI);
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
        mLoop.run(
                () -> {
                    mSettings.onChange(e -> setShare());
                    mFleet.onListChange(this::setShare);
                    mPeers.onNews(PeerProto.Frame.BodyCase.BORROW_PERMIT, this::asked);
                    mPeers.onNews(PeerProto.Frame.BodyCase.LENT_PERMIT, this::answered);
                    mPeers.onNews(
                            PeerProto.Frame.BodyCase.RETURN_PERMIT,
                            (n, f, r) -> mBank.onLoanReturned(f.getReturnPermit().getNumber()));
                    setShare();
                });
        mStopTicks = mLoop.every(TICK_MILLIS, this::tick);
    }

    private void setShare() {
        SortedSet<String> listed =
                mFleet.view().vms().withRole(VmRole.ENTRY).stream()
                        .filter(vm -> vm.domain().equals(mConfig.domain()))
                        .map(Vm::id)
                        .collect(Collectors.toCollection(TreeSet::new));
        mBank.setShare(
                mLoop.now(),
                StoreShare.of(
                        mSettings.view().store(), mConfig.nodeId(), mConfig.domain(), listed));
    }

    /**
     * Returns the permits.
     *
     * @return this node's bank
     */
    public PermitPool bank() {
        return mBank;
    }

    private void tick() {
        long now = mLoop.now();
        mAsked.values().removeIf(t -> now - t >= ANSWER_NANOS);
        mBank.drainReturns(now).forEach(this::giveBack);
        Optional<Urgency> need = mBank.borrowingUrgency(now);
        if (need.isPresent() && mAsked.isEmpty()) {
            long key = mRequests;
            mFleet.liveNodes().stream()
                    .filter(n -> !n.equals(mConfig.nodeId()))
                    .sorted(
                            Comparator.comparingLong(
                                    n -> Rendezvous.weight(key, Rendezvous.hash(n))))
                    .limit(ASKED_AT_ONCE)
                    .forEach(n -> ask(n, need.get(), now));
        }
    }

    private void ask(String node, Urgency need, long now) {
        long request = ++mRequests;
        mAsked.put(request, now);
        mPeers.send(
                node,
                PeerProto.Frame.newBuilder()
                        .setBorrowPermit(
                                PeerProto.BorrowPermit.newBuilder()
                                        .setRequest(request)
                                        .setOverShare(need.overShare())
                                        .setPriority(need.priority().ordinal())
                                        .setWaitedMillis(need.waitedMillis()))
                        .build());
    }

    private void asked(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        Optional<Permit> loan = mBank.lend(mLoop.now(), PeerCodec.urgency(frame.getBorrowPermit()));
        PeerProto.LentPermit.Builder answer =
                PeerProto.LentPermit.newBuilder()
                        .setRequest(frame.getBorrowPermit().getRequest())
                        .setGranted(loan.isPresent())
                        .setValidMillis(mBank.maxLoanNanos() / NANOS_PER_MILLI);
        loan.ifPresent(p -> answer.setNumber(p.number()));
        mLoans += loan.isPresent() ? 1 : 0;
        reply.accept(PeerProto.Frame.newBuilder().setLentPermit(answer).build());
    }

    private void answered(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        PeerProto.LentPermit answer = frame.getLentPermit();
        Long asked = mAsked.remove(answer.getRequest());
        if (!answer.getGranted()) {
            return;
        }
        if (asked == null) {
            giveBack(new Permit(answer.getNumber(), node, 0));
            return;
        }
        long expires = asked + answer.getValidMillis() * NANOS_PER_MILLI;
        mBank.addLoan(mLoop.now(), new Permit(answer.getNumber(), node, expires));
    }

    private void giveBack(Permit permit) {
        mPeers.send(
                permit.owner(),
                PeerProto.Frame.newBuilder()
                        .setReturnPermit(
                                PeerProto.ReturnPermit.newBuilder().setNumber(permit.number()))
                        .build());
    }

    @Override
    public void stop() {
        mStopTicks.run();
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("share_in_transit", mBank.share().inTransit());
        out.put("share_loads_per_second", mBank.share().loadsPerSecond());
        out.put("out", mBank.outstanding());
        out.put("loans_given", mLoans);
        return out;
    }
}
