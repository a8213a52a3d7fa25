package org.fescuehollow.faults;

/** The faults that the tests inject into a simulated cluster. */
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

    /** Injects the fault at the node and the engine that reached the injection point. */
    void inject(SimulatedCluster cluster, SimulatedNode node, FakeEngine engine) {
        switch (this) {
            case NODE_PAUSES -> cluster.pauseNode(node, 20);
            case NODE_CRASHES -> cluster.crashNode(node);
            case NODE_STOPS_GRACEFULLY -> cluster.stopNodeGracefully(node);
            case ENGINE_CRASHES -> engine.crash();
            case ENGINE_LEAVES -> cluster.markEngineLeaving(engine);
            case MESSAGE_LOST -> cluster.loseNextMessage(node);
            case MESSAGE_DELAYED -> cluster.delayNextMessage(node);
            case DOMAINS_PARTITIONED -> cluster.blockLinks((a, b) -> !cluster.sameDomain(a, b), 20);
            case DOMAINS_PARTITIONED_ONE_WAY ->
                    cluster.blockLinks(
                            (a, b) -> !cluster.sameDomain(a, b) && a.compareTo(b) < 0, 20);
            case NODE_ISOLATED ->
                    cluster.blockLinks((a, b) -> a.equals(node.id()) || b.equals(node.id()), 20);
            case SETTINGS_DOWN -> cluster.platform().setSettingsDown(true);
            case SETTINGS_STALE -> cluster.platform().setSettingsStale(true);
            case VM_LIST_FROZEN -> cluster.platform().setVmListFrozen(true);
            case LOADS_FAIL -> cluster.failNextLoads(3);
            case STORE_SLOW -> cluster.slowDownStore();
            case REQUEST_CRASHES_ENGINES -> cluster.sendCrashingCalls();
            default -> {}
        }
    }
}
