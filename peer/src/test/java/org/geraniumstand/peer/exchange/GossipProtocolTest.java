package org.geraniumstand.peer.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;

final class GossipProtocolTest {
    private static final int MINUTE_STEPS = 600;

    @Test
    void appliesChangeOnOneHundredNodesWithinSixSeconds() {
        FakeNetwork network = new FakeNetwork(100, 1);
        assertThat(network.runUntil(() -> allSeeMembers(network, 100), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
        network.node(17)
                .gossip()
                .onStoredConfiguration(document(1, "a"), network.node(17).now());
        int steps = network.runUntil(() -> allApplied(network, 1), MINUTE_STEPS);
        // The target is 6 s, and one step is 100 ms.
        assertThat(steps, is(greaterThanOrEqualTo(0)));
        assertThat(steps, is(lessThanOrEqualTo(60)));
        assertThat(
                network.runUntil(() -> allKnowGeneration(network, 100, 1), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
        // Connections to the seeds, which every node opened at startup, are closed after 30 s without use.
        network.run(400);
        network.nodes().forEach(node -> assertThat(node.connected().size(), is(lessThanOrEqualTo(30))));
    }

    @Test
    void deliversBadVersionToEveryNodeExactlyOnce() {
        FakeNetwork network = new FakeNetwork(60, 2);
        network.runUntil(() -> allSeeMembers(network, 60), MINUTE_STEPS);
        network.node(5).gossip().broadcast(new PeerMessage.BadVersionsUpdate(List.of(badVersion())));
        network.run(50);
        network.nodes().stream()
                .filter(node -> node != network.node(5))
                .forEach(node -> assertThat(node.received(), hasSize(1)));
    }

    @Test
    void deliversEvidenceToAllNodesAndToLateJoiner() {
        FakeNetwork network = new FakeNetwork(6, 3);
        network.runUntil(() -> allSeeMembers(network, 6), MINUTE_STEPS);
        network.node(2).gossip().publishEvidence(List.of(row(network.node(2), 10)));
        network.node(2).gossip().publishEvidence(List.of(row(network.node(2), 11)));
        network.run(30);
        PeerMessage newest = new PeerMessage.EvidenceUpdate(List.of(row(network.node(2), 11)));
        assertThat(network.node(4).received(), is(List.of(newest)));
        FakeNetwork.Node late = network.add();
        assertThat(network.runUntil(() -> late.received().contains(newest), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void dropsPausedNodeWithinTenSecondsAndReadmitsIt() {
        FakeNetwork network = new FakeNetwork(20, 4);
        network.runUntil(() -> allSeeMembers(network, 20), MINUTE_STEPS);
        network.node(3).pause(true);
        int steps = network.runUntil(
                () -> network.nodes().stream()
                        .filter(node -> node != network.node(3))
                        .allMatch(node -> node.view().members().size() == 19),
                MINUTE_STEPS);
        assertThat(steps, is(greaterThanOrEqualTo(0)));
        assertThat(steps, is(lessThanOrEqualTo(100)));
        network.node(3).pause(false);
        assertThat(network.runUntil(() -> allSeeMembers(network, 20), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void everyNodeDropsKilledNodes() {
        FakeNetwork network = new FakeNetwork(40, 5);
        network.runUntil(() -> allSeeMembers(network, 40), MINUTE_STEPS);
        network.node(7).kill();
        network.node(8).kill();
        assertThat(network.runUntil(() -> allSeeMembers(network, 38), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void singleBrokenLinkDropsNoMember() {
        FakeNetwork network = new FakeNetwork(5, 6);
        network.runUntil(() -> allSeeMembers(network, 5), MINUTE_STEPS);
        network.setLinkCut(0, 1, true);
        network.run(2 * MINUTE_STEPS);
        assertThat(allSeeMembers(network, 5), is(true));
    }

    @Test
    void healedPartitionConvergesOnTheNewerConfiguration() {
        FakeNetwork network = new FakeNetwork(8, 7);
        network.runUntil(() -> allSeeMembers(network, 8), MINUTE_STEPS);
        for (int a = 0; a < 4; a++) {
            for (int b = 4; b < 8; b++) {
                network.setLinkCut(a, b, true);
            }
        }
        assertThat(network.runUntil(() -> allSeeMembers(network, 4), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
        network.node(0)
                .gossip()
                .onStoredConfiguration(document(4, "a"), network.node(0).now());
        network.node(6)
                .gossip()
                .onStoredConfiguration(document(5, "b"), network.node(6).now());
        network.run(50);
        network.heal();
        assertThat(
                network.runUntil(() -> allSeeMembers(network, 8) && allApplied(network, 5), 2 * MINUTE_STEPS),
                is(greaterThanOrEqualTo(0)));
    }

    @Test
    void rejectsDifferentDocumentOfTheSameGeneration() {
        FakeNetwork network = new FakeNetwork(3, 8);
        network.runUntil(() -> allSeeMembers(network, 3), MINUTE_STEPS);
        network.node(0)
                .gossip()
                .onStoredConfiguration(document(1, "a"), network.node(0).now());
        network.runUntil(() -> allApplied(network, 1), MINUTE_STEPS);
        network.node(1)
                .gossip()
                .onStoredConfiguration(document(1, "b"), network.node(1).now());
        network.run(50);
        network.nodes().forEach(node -> assertThat(node.view().text().orElseThrow(), is(document(1, "a"))));
        network.node(1)
                .gossip()
                .onStoredConfiguration(document(2, "c"), network.node(1).now());
        assertThat(network.runUntil(() -> allApplied(network, 2), MINUTE_STEPS), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void propagatesStoreConfirmationFromTheProcessThatReadsTheStore() {
        FakeNetwork network = new FakeNetwork(4, 9);
        network.runUntil(() -> allSeeMembers(network, 4), MINUTE_STEPS);
        network.node(0)
                .gossip()
                .onStoredConfiguration(document(1, "a"), network.node(0).now());
        network.run(50);
        long before = network.node(3).view().confirmedNanos().orElseThrow();
        network.node(0)
                .gossip()
                .onStoredConfiguration(document(1, "a"), network.node(0).now());
        network.run(20);
        assertThat(network.node(3).view().confirmedNanos().orElseThrow() > before, is(true));
    }

    static boolean allSeeMembers(FakeNetwork network, int members) {
        return network.alive().stream().allMatch(node -> node.view().members().size() == members);
    }

    static boolean allApplied(FakeNetwork network, long generation) {
        return network.alive().stream().allMatch(node -> node.view().generation() == generation);
    }

    static String document(long generation, String writer) {
        return Json.write(Configuration.empty().withGeneration(generation).withChangeTokens(writer));
    }

    private static boolean allKnowGeneration(FakeNetwork network, int members, long generation) {
        return network.nodes().stream()
                .allMatch(node -> node.view().generations().size() == members
                        && node.view().generations().values().stream().allMatch(g -> g == generation));
    }

    private static BadVersion badVersion() {
        return new BadVersion(new MoveId("move"), new ServiceId("service"), new VersionId("2"), "fails");
    }

    private static EvidenceRow row(FakeNetwork.Node node, long requests) {
        EvidenceKey key = new EvidenceKey(
                node.view().members().get(0).id(), new ServiceId("s"), new VersionId("2"), new RouteId("r"));
        return new EvidenceRow(key, requests, 0, List.of(requests, 0L));
    }
}
