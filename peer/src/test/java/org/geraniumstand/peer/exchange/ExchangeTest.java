package org.geraniumstand.peer.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;

final class ExchangeTest {
    private static final int MINUTE = 600;

    @Test
    void manyNodesFindEachOtherAndAChangeIsInForceEverywhereWithinSeconds() {
        FakeNetwork network = new FakeNetwork(100, 1);
        assertThat(network.runUntil(() -> allSee(network, 100), MINUTE), is(greaterThanOrEqualTo(0)));
        network.node(17)
                .exchange()
                .onStoredConfiguration(document(1, "a"), network.node(17).now());
        int steps = network.runUntil(() -> allHave(network, 1), MINUTE);
        // The target is 6 s; a step is 100 ms.
        assertThat(steps, is(greaterThanOrEqualTo(0)));
        assertThat(steps, is(lessThanOrEqualTo(60)));
        assertThat(network.runUntil(() -> allConfirm(network, 100, 1), MINUTE), is(greaterThanOrEqualTo(0)));
        // The seeds, which all started from, are let go of after 30 s without use.
        network.run(400);
        network.nodes().forEach(n -> assertThat(n.connected().size(), is(lessThanOrEqualTo(30))));
    }

    @Test
    void aMarkReachesAllOfManyNodesOnceEach() {
        FakeNetwork network = new FakeNetwork(60, 2);
        network.runUntil(() -> allSee(network, 60), MINUTE);
        network.node(5).exchange().broadcast(new PeerMessage.BadMarkShare(List.of(mark())));
        network.run(50);
        network.nodes().stream().filter(n -> n != network.node(5)).forEach(n -> assertThat(n.received(), hasSize(1)));
    }

    @Test
    void evidenceOfAllReachesAllAndOneThatStartsLater() {
        FakeNetwork network = new FakeNetwork(6, 3);
        network.runUntil(() -> allSee(network, 6), MINUTE);
        network.node(2).exchange().shareEvidence(List.of(row(network.node(2), 10)));
        network.node(2).exchange().shareEvidence(List.of(row(network.node(2), 11)));
        network.run(30);
        PeerMessage newest = new PeerMessage.EvidenceShare(List.of(row(network.node(2), 11)));
        assertThat(network.node(4).received(), is(List.of(newest)));
        FakeNetwork.Node late = network.add();
        assertThat(network.runUntil(() -> late.received().contains(newest), MINUTE), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void aPausedNodeDropsOutWithinSecondsAndComesBack() {
        FakeNetwork network = new FakeNetwork(20, 4);
        network.runUntil(() -> allSee(network, 20), MINUTE);
        network.node(3).pause(true);
        int steps = network.runUntil(
                () -> network.nodes().stream()
                        .filter(n -> n != network.node(3))
                        .allMatch(n -> n.view().members().size() == 19),
                MINUTE);
        assertThat(steps, is(greaterThanOrEqualTo(0)));
        assertThat(steps, is(lessThanOrEqualTo(100)));
        network.node(3).pause(false);
        assertThat(network.runUntil(() -> allSee(network, 20), MINUTE), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void aDeadNodeIsDroppedByAll() {
        FakeNetwork network = new FakeNetwork(40, 5);
        network.runUntil(() -> allSee(network, 40), MINUTE);
        network.node(7).kill();
        network.node(8).kill();
        assertThat(network.runUntil(() -> allSee(network, 38), MINUTE), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void oneBrokenLinkRemovesNobody() {
        FakeNetwork network = new FakeNetwork(5, 6);
        network.runUntil(() -> allSee(network, 5), MINUTE);
        network.cut(0, 1, true);
        network.run(2 * MINUTE);
        assertThat(allSee(network, 5), is(true));
    }

    @Test
    void twoHalvesFindEachOtherAgainAndTheNewerConfigurationWins() {
        FakeNetwork network = new FakeNetwork(8, 7);
        network.runUntil(() -> allSee(network, 8), MINUTE);
        for (int a = 0; a < 4; a++) {
            for (int b = 4; b < 8; b++) {
                network.cut(a, b, true);
            }
        }
        assertThat(network.runUntil(() -> allSee(network, 4), MINUTE), is(greaterThanOrEqualTo(0)));
        network.node(0)
                .exchange()
                .onStoredConfiguration(document(4, "a"), network.node(0).now());
        network.node(6)
                .exchange()
                .onStoredConfiguration(document(5, "b"), network.node(6).now());
        network.run(50);
        network.heal();
        assertThat(
                network.runUntil(() -> allSee(network, 8) && allHave(network, 5), 2 * MINUTE),
                is(greaterThanOrEqualTo(0)));
    }

    @Test
    void anotherDocumentOfTheSameGenerationIsNotTaken() {
        FakeNetwork network = new FakeNetwork(3, 8);
        network.runUntil(() -> allSee(network, 3), MINUTE);
        network.node(0)
                .exchange()
                .onStoredConfiguration(document(1, "a"), network.node(0).now());
        network.runUntil(() -> allHave(network, 1), MINUTE);
        network.node(1)
                .exchange()
                .onStoredConfiguration(document(1, "b"), network.node(1).now());
        network.run(50);
        network.nodes().forEach(n -> assertThat(n.view().text().orElseThrow(), is(document(1, "a"))));
        network.node(1)
                .exchange()
                .onStoredConfiguration(document(2, "c"), network.node(1).now());
        assertThat(network.runUntil(() -> allHave(network, 2), MINUTE), is(greaterThanOrEqualTo(0)));
    }

    @Test
    void confirmationSpreadsFromTheProcessThatReadsTheStore() {
        FakeNetwork network = new FakeNetwork(4, 9);
        network.runUntil(() -> allSee(network, 4), MINUTE);
        network.node(0)
                .exchange()
                .onStoredConfiguration(document(1, "a"), network.node(0).now());
        network.run(50);
        long before = network.node(3).view().confirmedNanos().orElseThrow();
        network.node(0)
                .exchange()
                .onStoredConfiguration(document(1, "a"), network.node(0).now());
        network.run(20);
        assertThat(network.node(3).view().confirmedNanos().orElseThrow() > before, is(true));
    }

    static boolean allSee(FakeNetwork network, int members) {
        return network.alive().stream().allMatch(n -> n.view().members().size() == members);
    }

    static boolean allHave(FakeNetwork network, long generation) {
        return network.alive().stream().allMatch(n -> n.view().generation() == generation);
    }

    static String document(long generation, String writer) {
        return Json.write(Configuration.empty().withGeneration(generation).withWriter(writer));
    }

    private static boolean allConfirm(FakeNetwork network, int members, long generation) {
        return network.nodes().stream()
                .allMatch(n -> n.view().generations().size() == members
                        && n.view().generations().values().stream().allMatch(g -> g == generation));
    }

    private static BadMark mark() {
        return new BadMark(new MoveId("move"), new ServiceId("service"), new VersionId("2"), "fails");
    }

    private static EvidenceRow row(FakeNetwork.Node node, long requests) {
        EvidenceKey key = new EvidenceKey(
                node.view().members().get(0).id(), new ServiceId("s"), new VersionId("2"), new RouteId("r"));
        return new EvidenceRow(key, requests, 0, List.of(requests, 0L));
    }
}
