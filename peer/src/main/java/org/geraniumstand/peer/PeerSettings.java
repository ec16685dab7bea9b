package org.geraniumstand.peer;

import java.util.List;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.exchange.GossipProtocol;

/**
 * Configures a peer network.
 *
 * @param self this process; its peer port is replaced with the port that the listener is bound to
 * @param port port to listen on, or zero for any free port
 * @param sharedKey secret key that all entry processes share
 * @param seeds addresses of peers to contact at startup
 * @param randomSeed seed of the random reconnect backoff and of the random choice among addresses
 */
public record PeerSettings(Member self, int port, String sharedKey, List<GossipProtocol.Seed> seeds, long randomSeed) {
    /** Copies the list. */
    public PeerSettings {
        seeds = List.copyOf(seeds);
    }

    /** Omits the shared key. */
    @Override
    public String toString() {
        return "PeerSettings[self=" + self + ", port=" + port + ", seeds=" + seeds + "]";
    }
}
