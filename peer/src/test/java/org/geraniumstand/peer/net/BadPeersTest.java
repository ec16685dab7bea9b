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
import org.geraniumstand.peer.exchange.Exchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class BadPeersTest {
    private final Nodes nodes = new Nodes();

    @AfterEach
    void close() {
        nodes.close();
    }

    @Test
    void garbageIsClosedAndOthersStillConnect() throws IOException, InterruptedException {
        TcpPeerNetwork node = nodes.start("node", 1, Nodes.KEY);
        Random random = new Random(5);
        for (int i = 0; i < 20; i++) {
            byte[] garbage = new byte[2_000];
            random.nextBytes(garbage);
            assertThat(isClosedAfter(node, garbage), is(true));
        }
        nodes.start("friend", 1, Nodes.KEY);
        assertThat(Await.until(() -> node.members().size() == 2), is(true));
    }

    @Test
    void anOverLongHelloIsClosedAtItsLength() throws IOException {
        TcpPeerNetwork node = nodes.start("node", 1, Nodes.KEY);
        byte[] length =
                ByteBuffer.allocate(4).putInt(PeerConnection.HELLO_BYTES + 1).array();
        assertThat(isClosedAfter(node, length), is(true));
    }

    @Test
    void slowHellosAreClosedAndDoNotKeepOthersOut() throws IOException, InterruptedException {
        TcpPeerNetwork node = nodes.start("node", 1, Nodes.KEY);
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < 2 * Sockets.STRANGERS; i++) {
            slow.add(new Socket(InetAddress.getLoopbackAddress(), node.self().peerPort()));
        }
        nodes.start("friend", 1, Nodes.KEY);
        assertThat(Await.until(() -> node.members().size() == 2), is(true));
        for (Socket socket : slow) {
            socket.setSoTimeout(30_000);
            assertThat(reads(socket), is(-1));
            socket.close();
        }
    }

    @Test
    void aSilentConnectionIsReplacedByANewOne() throws IOException, InterruptedException {
        TcpPeerNetwork first = nodes.start("a", 1, Nodes.KEY);
        try (CuttingRelay relay = new CuttingRelay(first.self().peerPort())) {
            TcpPeerNetwork second =
                    nodes.start("b", 1, Nodes.KEY, List.of(new Exchange.Seed("127.0.0.1", relay.port())));
            List<TcpPeerNetwork> both = List.of(first, second);
            assertThat(Await.until(() -> Nodes.allSee(both, 2)), is(true));
            first.offerStored(Nodes.document(1, 1));
            assertThat(Await.until(() -> Nodes.allHave(both, 1)), is(true));
            relay.silence();
            first.offerStored(Nodes.document(2, 1));
            assertThat(Await.until(() -> Nodes.allHave(both, 2) && Nodes.allSee(both, 2)), is(true));
        }
    }

    private static boolean isClosedAfter(TcpPeerNetwork node, byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), node.self().peerPort())) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(bytes);
            return reads(socket) < 0;
        }
    }

    private static int reads(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read();
        } catch (SocketException _e) {
            // It was reset, as bytes were left unread.
            return -1;
        }
    }
}
