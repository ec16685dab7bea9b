package org.geraniumstand.peer.net;

import java.net.InetSocketAddress;
import org.geraniumstand.peer.PeerMessage;

/** Told what the sockets bring, on the thread that owns them. */
interface SocketEvents {
    /** The hello of a connection is complete. */
    void onEstablished(PeerConnection connection);

    /** A message arrived. */
    void onMessage(PeerConnection connection, PeerMessage message);

    /** A connection whose hello was complete has ended. */
    void onClosed(PeerConnection connection);

    /** No connection could be made. */
    void onOpenFailed(InetSocketAddress address);

    /** An address leads to this process itself. */
    void onSelf(InetSocketAddress address);
}
