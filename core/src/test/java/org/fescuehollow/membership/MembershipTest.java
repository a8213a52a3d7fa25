package org.fescuehollow.membership;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.Set;
import org.fescuehollow.testsupport.SimulatedGossipNetwork;
import org.junit.jupiter.api.Test;

class MembershipTest {
    @Test
    void nodes_discoverEachOther() {
        // GIVEN
        SimulatedGossipNetwork net = startedNetwork(4, 3);
        // WHEN
        net.runSeconds(10);
        // THEN
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void node_thatStopsIsDeclaredDeadByAll() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(4, 3);
        // WHEN
        net.stopNode("d0-n1");
        net.runSeconds(12);
        // THEN
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void node_thatWasPausedRejoins() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(2, 3);
        net.pauseNode("d0-n0");
        net.runSeconds(60);
        then(net.allNodesSee(Set.of("d0-n1", "d0-n2", "d1-n0", "d1-n1", "d1-n2"))).isTrue();
        // WHEN
        net.resumeNode("d0-n0");
        net.runSeconds(10);
        // THEN
        then(net.membership("d0-n0").pauseCount()).isEqualTo(1);
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void domains_thatArePartitionedKeepTheirOwnNodesAndRejoin() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(2, 4);
        // WHEN
        net.blockLinks((a, b) -> !a.substring(0, 2).equals(b.substring(0, 2)));
        net.runSeconds(30);
        // THEN
        then(net.usableNodesAt("d0-n0")).containsExactly("d0-n0", "d0-n1", "d0-n2", "d0-n3");
        then(net.usableNodesAt("d1-n2")).containsExactly("d1-n0", "d1-n1", "d1-n2", "d1-n3");
        net.unblockLinks();
        net.runSeconds(30);
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void link_brokenInOneDirectionIsProbedThroughOtherNodes() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(1, 4);
        // WHEN
        net.blockLinks((a, b) -> a.equals("d0-n0") && b.equals("d0-n1"));
        net.runSeconds(60);
        // THEN
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void node_thatRestartsAfterBeingDeclaredDeadRejoins() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(2, 2);
        net.stopNode("d0-n0");
        net.runSeconds(15);
        // WHEN
        net.startNode("d0-n0");
        net.runSeconds(15);
        // THEN
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void messageLoss_leavesNoNodeDead() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(2, 4);
        // WHEN
        net.setLossRate(0.05);
        net.runSeconds(120);
        net.setLossRate(0);
        net.runSeconds(20);
        // THEN
        then(net.allNodesSee(net.runningNodes())).isTrue();
    }

    @Test
    void messageRate_perNodeDoesNotGrowWithTheNodeCount() {
        // WHEN
        double few = messagesPerNodePerSecond(2, 4);
        double many = messagesPerNodePerSecond(5, 16);
        // THEN
        then(many).isLessThanOrEqualTo(few * 1.2);
    }

    @Test
    void newNode_isNotUsableBeforeItHasHeardItsDomain() {
        // GIVEN
        SimulatedGossipNetwork net = settledNetwork(1, 3);
        // WHEN
        net.addNode("d0-n9", "d0");
        net.startNode("d0-n9");
        // THEN
        then(net.usableNodesAt("d0-n9")).doesNotContain("d0-n9");
        net.runSeconds(5);
        then(net.usableNodesAt("d0-n9")).contains("d0-n9", "d0-n0", "d0-n1", "d0-n2");
    }

    private static double messagesPerNodePerSecond(int domains, int nodes) {
        SimulatedGossipNetwork net = settledNetwork(domains, nodes);
        long before = net.messageCount();
        net.runSeconds(60);
        return (net.messageCount() - before) / 60.0 / (domains * nodes);
    }

    private static SimulatedGossipNetwork settledNetwork(int domains, int nodes) {
        SimulatedGossipNetwork net = startedNetwork(domains, nodes);
        net.runSeconds(30);
        return net;
    }

    private static SimulatedGossipNetwork startedNetwork(int domains, int nodes) {
        SimulatedGossipNetwork net = new SimulatedGossipNetwork(7);
        for (int d = 0; d < domains; d++) {
            for (int n = 0; n < nodes; n++) {
                net.addNode("d" + d + "-n" + n, "d" + d);
            }
        }
        return net.startAll();
    }
}
