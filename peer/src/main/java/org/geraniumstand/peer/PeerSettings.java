package org.geraniumstand.peer;

import java.util.List;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.exchange.Exchange;

/**
 * What a peer network needs to know at its start.
 *
 * @param self this process; its peer port is replaced by the one listened on
 * @param port port to listen on, zero for any
 * @param sharedKey key that all entry processes share
 * @param seeds addresses to try first
 * @param randomSeed seed of the pauses between attempts and of the choice among addresses
 */
public record PeerSettings(Member self, int port, String sharedKey, List<Exchange.Seed> seeds, long randomSeed) {
    /** Copies the list. */
    public PeerSettings {
        seeds = List.copyOf(seeds);
    }

    /** Hides the key. */
    @Override
    public String toString() {
        return "PeerSettings[self=" + self + ", port=" + port + ", seeds=" + seeds + "]";
    }
}
