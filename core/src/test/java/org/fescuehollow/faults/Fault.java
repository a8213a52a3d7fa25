package org.fescuehollow.faults;

/** What goes wrong. */
enum Fault {
    NONE,
    NODE_PAUSES,
    NODE_CRASHES,
    NODE_STOPS_GRACEFULLY,
    ENGINE_CRASHES,
    ENGINE_LEAVES,
    MESSAGE_LOST,
    MESSAGE_DELAYED,
    DOMAINS_PARTITIONED,
    DOMAINS_PARTITIONED_ONE_WAY,
    NODE_ISOLATED,
    SETTINGS_DOWN,
    SETTINGS_STALE,
    VM_LIST_FROZEN,
    LOADS_FAIL,
    STORE_SLOW,
    REQUEST_CRASHES_ENGINES;

    /** Breaks the world at the place where a step is taken. */
    void inject(SimulatedCluster w, SimulatedNode at, FakeEngine server) {
        switch (this) {
            case NODE_PAUSES -> w.pauseNode(at, 20);
            case NODE_CRASHES -> w.crashNode(at);
            case NODE_STOPS_GRACEFULLY -> w.stopNodeGracefully(at);
            case ENGINE_CRASHES -> server.crash();
            case ENGINE_LEAVES -> w.markEngineLeaving(server);
            case MESSAGE_LOST -> w.loseNextMessage(at);
            case MESSAGE_DELAYED -> w.delayNextMessage(at);
            case DOMAINS_PARTITIONED -> w.blockLinks((a, b) -> !w.sameDomain(a, b), 20);
            case DOMAINS_PARTITIONED_ONE_WAY ->
                    w.blockLinks((a, b) -> !w.sameDomain(a, b) && a.compareTo(b) < 0, 20);
            case NODE_ISOLATED ->
                    w.blockLinks((a, b) -> a.equals(at.id()) || b.equals(at.id()), 20);
            case SETTINGS_DOWN -> w.platform().setSettingsDown(true);
            case SETTINGS_STALE -> w.platform().setSettingsStale(true);
            case VM_LIST_FROZEN -> w.platform().setVmListFrozen(true);
            case LOADS_FAIL -> w.failNextLoads(3);
            case STORE_SLOW -> w.slowDownStore();
            case REQUEST_CRASHES_ENGINES -> w.sendCrashingCalls();
            default -> {}
        }
    }
}
