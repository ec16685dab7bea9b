package org.geraniumstand.peer.net;

import java.net.InetSocketAddress;
import org.geraniumstand.peer.PeerMessage;

/** Receives the events of the sockets on the thread that owns them. */
interface SocketListener {
    /** Called when the handshake of a connection has completed. */
    void onEstablished(PeerConnection connection);

    /** Called when a message has arrived. */
    void onMessage(PeerConnection connection, PeerMessage message);

    /** Called when a connection has closed whose handshake had completed. */
    void onClosed(PeerConnection connection);

    /** Called when an outbound connection has failed before its handshake completed. */
    void onConnectFailed(InetSocketAddress address);

    /** Called when an address turned out to belong to this process. */
    void onConnectedToSelf(InetSocketAddress address);
}
