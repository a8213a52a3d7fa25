package org.fescuehollow.membership;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.Set;
import org.fescuehollow.testsupport.GossipNet;
import org.junit.jupiter.api.Test;

class MembershipTest {
    @Test
    void nodes_findEachOther() {
        // GIVEN
        GossipNet net = fleet(4, 3);
        // WHEN
        net.run(10);
        // THEN
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void node_thatDiesIsDeclaredDeadByAll() {
        // GIVEN
        GossipNet net = settled(4, 3);
        // WHEN
        net.stop("d0-n1");
        net.run(12);
        // THEN
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void node_thatWasPausedGivesUpAndComesBack() {
        // GIVEN
        GossipNet net = settled(2, 3);
        net.pause("d0-n0");
        net.run(60);
        then(net.allSee(Set.of("d0-n1", "d0-n2", "d1-n0", "d1-n1", "d1-n2"))).isTrue();
        // WHEN
        net.wake("d0-n0");
        net.run(10);
        // THEN
        then(net.node("d0-n0").pauses()).isEqualTo(1);
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void domains_thatAreCutOffKeepTheirOwnAndHeal() {
        // GIVEN
        GossipNet net = settled(2, 4);
        // WHEN
        net.cut((a, b) -> !a.substring(0, 2).equals(b.substring(0, 2)));
        net.run(30);
        // THEN
        then(net.usableAt("d0-n0")).containsExactly("d0-n0", "d0-n1", "d0-n2", "d0-n3");
        then(net.usableAt("d1-n2")).containsExactly("d1-n0", "d1-n1", "d1-n2", "d1-n3");
        net.heal();
        net.run(30);
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void linkCutOneWayIsBridgedByOthers() {
        // GIVEN
        GossipNet net = settled(1, 4);
        // WHEN
        net.cut((a, b) -> a.equals("d0-n0") && b.equals("d0-n1"));
        net.run(60);
        // THEN
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void restart_isSeenDespiteAnEarlierDeath() {
        // GIVEN
        GossipNet net = settled(2, 2);
        net.stop("d0-n0");
        net.run(15);
        // WHEN
        net.life("d0-n0");
        net.run(15);
        // THEN
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void lostMessages_killNobody() {
        // GIVEN
        GossipNet net = settled(2, 4);
        // WHEN
        net.lose(0.05);
        net.run(120);
        net.lose(0);
        net.run(20);
        // THEN
        then(net.allSee(net.running())).isTrue();
    }

    @Test
    void messages_ofANodeDoNotGrowWithTheFleet() {
        // WHEN
        double few = messagesPerNodeAndSecond(2, 4);
        double many = messagesPerNodeAndSecond(5, 16);
        // THEN
        then(many).isLessThanOrEqualTo(few * 1.2);
    }

    @Test
    void newNode_takesNothingOverBeforeItHasHeardItsDomain() {
        // GIVEN
        GossipNet net = settled(1, 3);
        // WHEN
        net.with("d0-n9", "d0");
        net.life("d0-n9");
        // THEN
        then(net.usableAt("d0-n9")).doesNotContain("d0-n9");
        net.run(5);
        then(net.usableAt("d0-n9")).contains("d0-n9", "d0-n0", "d0-n1", "d0-n2");
    }

    private static double messagesPerNodeAndSecond(int domains, int nodes) {
        GossipNet net = settled(domains, nodes);
        long before = net.messages();
        net.run(60);
        return (net.messages() - before) / 60.0 / (domains * nodes);
    }

    private static GossipNet settled(int domains, int nodes) {
        GossipNet net = fleet(domains, nodes);
        net.run(30);
        return net;
    }

    private static GossipNet fleet(int domains, int nodes) {
        GossipNet net = new GossipNet(7);
        for (int d = 0; d < domains; d++) {
            for (int n = 0; n < nodes; n++) {
                net.with("d" + d + "-n" + n, "d" + d);
            }
        }
        return net.start();
    }
}
