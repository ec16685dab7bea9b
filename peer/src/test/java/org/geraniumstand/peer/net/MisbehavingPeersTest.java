package org.geraniumstand.peer.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.geraniumstand.peer.exchange.GossipProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class MisbehavingPeersTest {
    private final TestNodes nodes = new TestNodes();

    @AfterEach
    void close() {
        nodes.close();
    }

    @Test
    void closesConnectionsThatSendGarbageAndAcceptsOthers() throws IOException, InterruptedException {
        TcpPeerNetwork node = nodes.start("node", 1, TestNodes.KEY);
        Random random = new Random(5);
        for (int i = 0; i < 20; i++) {
            byte[] garbage = new byte[2_000];
            random.nextBytes(garbage);
            assertThat(isClosedAfter(node, garbage), is(true));
        }
        nodes.start("friend", 1, TestNodes.KEY);
        assertThat(Await.until(() -> node.members().size() == 2), is(true));
    }

    @Test
    void closesConnectionOnOversizedHelloHeader() throws IOException {
        TcpPeerNetwork node = nodes.start("node", 1, TestNodes.KEY);
        byte[] length = ByteBuffer.allocate(4)
                .putInt(PeerConnection.MAX_HELLO_BYTES + 1)
                .array();
        assertThat(isClosedAfter(node, length), is(true));
    }

    @Test
    void closesStalledHandshakesAndAcceptsOthers() throws IOException, InterruptedException {
        TcpPeerNetwork node = nodes.start("node", 1, TestNodes.KEY);
        List<Socket> stalled = new ArrayList<>();
        for (int i = 0; i < 2 * Sockets.MAX_PENDING_HANDSHAKES; i++) {
            stalled.add(new Socket(InetAddress.getLoopbackAddress(), node.self().peerPort()));
        }
        nodes.start("friend", 1, TestNodes.KEY);
        assertThat(Await.until(() -> node.members().size() == 2), is(true));
        for (Socket socket : stalled) {
            socket.setSoTimeout(30_000);
            assertThat(readByte(socket), is(-1));
            socket.close();
        }
    }

    @Test
    void replacesUnresponsiveConnection() throws IOException, InterruptedException {
        TcpPeerNetwork first = nodes.start("a", 1, TestNodes.KEY);
        try (FaultInjectingProxy proxy = new FaultInjectingProxy(first.self().peerPort())) {
            TcpPeerNetwork second =
                    nodes.start("b", 1, TestNodes.KEY, List.of(new GossipProtocol.Seed("127.0.0.1", proxy.port())));
            List<TcpPeerNetwork> both = List.of(first, second);
            assertThat(Await.until(() -> TestNodes.allSeeMembers(both, 2)), is(true));
            first.onStoredConfiguration(TestNodes.document(1, 1));
            assertThat(Await.until(() -> TestNodes.allApplied(both, 1)), is(true));
            proxy.dropTraffic();
            first.onStoredConfiguration(TestNodes.document(2, 1));
            assertThat(Await.until(() -> TestNodes.allApplied(both, 2) && TestNodes.allSeeMembers(both, 2)), is(true));
        }
    }

    private static boolean isClosedAfter(TcpPeerNetwork node, byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), node.self().peerPort())) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(bytes);
            return readByte(socket) < 0;
        }
    }

    private static int readByte(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read();
        } catch (SocketException _e) {
            // The connection was reset because it was closed with unread bytes.
            return -1;
        }
    }
}
