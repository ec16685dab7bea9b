package org.geraniumstand.peer.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class TcpPeerNetworkTest {
    private final Nodes nodes = new Nodes();

    @AfterEach
    void close() {
        nodes.close();
    }

    @Test
    void fiveNodesFindEachOtherAndShareTheConfiguration() throws InterruptedException {
        List<TcpPeerNetwork> five = nodes.startMany(5);
        assertThat(Await.until(() -> Nodes.allSee(five, 5)), is(true));
        five.get(3).offerStored(Nodes.document(7, 1));
        assertThat(Await.until(() -> Nodes.allHave(five, 7)), is(true));
        five.get(1).offerStored(Nodes.document(6, 1));
        five.get(2).offerStored(Nodes.document(8, 1));
        assertThat(Await.until(() -> Nodes.allHave(five, 8)), is(true));
        assertThat(Await.until(() -> five.get(0).view().generations().size() == 5), is(true));
    }

    @Test
    void aClosedNodeLeavesAtOnceAndOneThatStartsLaterGetsEverything() throws InterruptedException {
        List<TcpPeerNetwork> five = nodes.startMany(5);
        assertThat(Await.until(() -> Nodes.allSee(five, 5)), is(true));
        five.get(0).offerStored(Nodes.document(3, 1));
        five.get(0).broadcast(new PeerMessage.BadMarkShare(List.of(mark())));
        assertThat(Await.until(() -> Nodes.allHave(five, 3)), is(true));
        nodes.stop(five.get(0));
        List<TcpPeerNetwork> rest = five.subList(1, 5);
        assertThat(Await.until(() -> Nodes.allSee(rest, 4)), is(true));
        TcpPeerNetwork late = nodes.start("late", 1, Nodes.KEY);
        Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
        late.subscribe(PeerMessage.BadMarkShare.class, (_from, message) -> received.add(message));
        assertThat(Await.until(() -> late.view().generation() == 3 && !received.isEmpty()), is(true));
    }

    @Test
    void aMessageReachesOneProcessWithItsSender() throws InterruptedException {
        List<TcpPeerNetwork> two = nodes.startMany(2);
        Queue<Map.Entry<ProcessId, PeerMessage>> received = new ConcurrentLinkedQueue<>();
        two.get(1).subscribe(PeerMessage.StreamTaken.class, (from, message) -> received.add(Map.entry(from, message)));
        assertThat(Await.until(() -> Nodes.allSee(two, 2)), is(true));
        PeerMessage message = new PeerMessage.StreamTaken("team", "request");
        assertThat(two.get(0).send(two.get(1).self().id(), message), is(true));
        assertThat(Await.until(() -> !received.isEmpty()), is(true));
        assertThat(received, contains(Map.entry(two.get(0).self().id(), message)));
        assertThat(two.get(0).send(new ProcessId("nobody"), message), is(false));
    }

    @Test
    void anotherKeyKeepsProcessesApart() throws InterruptedException {
        TcpPeerNetwork inside = nodes.start("inside", 1, Nodes.KEY);
        TcpPeerNetwork outside = nodes.start("outside", 1, "another key");
        outside.offerStored(Nodes.document(9, 1));
        TcpPeerNetwork friend = nodes.start("friend", 1, Nodes.KEY);
        assertThat(Await.until(() -> Nodes.allSee(List.of(inside, friend), 2)), is(true));
        assertThat(outside.members(), hasSize(1));
        assertThat(inside.view().generation(), is(-1L));
    }

    @Test
    void anOlderLevelBesideNewerOnesLosesNothing() throws InterruptedException {
        TcpPeerNetwork newer = nodes.start("newer-1", 2, Nodes.KEY);
        TcpPeerNetwork older = nodes.start("older", 1, Nodes.KEY);
        TcpPeerNetwork other = nodes.start("newer-2", 2, Nodes.KEY);
        List<TcpPeerNetwork> all = List.of(newer, older, other);
        assertThat(Await.until(() -> Nodes.allSee(all, 3)), is(true));
        assertThat(Await.until(() -> newer.view().lowestLevel() == 1), is(true));
        String withUnknownEntry = Nodes.document(4, 1).replace("{\"generation\"", "{\"added\":true,\"generation\"");
        older.offerStored(withUnknownEntry);
        assertThat(Await.until(() -> Nodes.allHave(all, 4)), is(true));
        assertThat(other.view().text().orElseThrow(), is(withUnknownEntry));
        newer.offerStored(Nodes.document(5, 2));
        assertThat(Await.until(() -> Nodes.allHave(List.of(newer, other), 5)), is(true));
        assertThat(Await.until(() -> older.view().blockedLevel() == 2), is(true));
        assertThat(older.view().generation(), is(4L));
    }

    @Test
    void aFrozenNodeDropsOutAndComesBackWithTheNewestConfiguration() throws InterruptedException {
        List<TcpPeerNetwork> five = nodes.startMany(5);
        assertThat(Await.until(() -> Nodes.allSee(five, 5)), is(true));
        five.get(0).offerStored(Nodes.document(1, 1));
        assertThat(Await.until(() -> Nodes.allHave(five, 1)), is(true));
        TcpPeerNetwork frozen = five.get(4);
        CountDownLatch thaw = new CountDownLatch(1);
        // A handler that blocks stops the thread that owns all its sockets, as a paused process would.
        frozen.subscribe(PeerMessage.StreamTaken.class, (_from, _message) -> await(thaw));
        frozen.send(frozen.self().id(), new PeerMessage.StreamTaken("team", "request"));
        List<TcpPeerNetwork> rest = five.subList(0, 4);
        assertThat(Await.until(() -> Nodes.allSee(rest, 4)), is(true));
        five.get(1).offerStored(Nodes.document(2, 1));
        assertThat(Await.until(() -> Nodes.allHave(rest, 2)), is(true));
        assertThat(frozen.view().generation(), is(1L));
        thaw.countDown();
        assertThat(Await.until(() -> Nodes.allSee(five, 5) && Nodes.allHave(five, 2)), is(true));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static BadMark mark() {
        return new BadMark(new MoveId("move"), new ServiceId("service"), new VersionId("2"), "fails");
    }
}
