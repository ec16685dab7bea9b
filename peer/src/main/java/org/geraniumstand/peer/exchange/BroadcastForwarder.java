package org.geraniumstand.peer.exchange;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.EncodedMessage;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.codec.MessageCodecs;

/** Numbers the broadcasts of this process and deduplicates those of others; confined to one thread. */
final class BroadcastForwarder {
    private static final int MAX_ORIGINS = 1_000;
    private static final int MAX_SEQUENCES = 512;

    private final ProcessId self;
    private final Map<ProcessId, SeenSequences> seenByOrigin = new LinkedHashMap<>();
    private long sequence;

    private static final class SeenSequences {
        private final TreeSet<Long> seen = new TreeSet<>();
        private long highestEvicted;
    }

    BroadcastForwarder(ProcessId self) {
        this.self = self;
    }

    PeerMessage.BroadcastEnvelope wrap(PeerMessage message) {
        sequence++;
        return new PeerMessage.BroadcastEnvelope(self, sequence, EncodedMessage.of(MessageCodecs.encode(message)));
    }

    /** Records a broadcast of another process; returns whether it was not received before. */
    boolean isNew(PeerMessage.BroadcastEnvelope message) {
        if (message.origin().equals(self)) {
            return false;
        }
        SeenSequences sequences = seenByOrigin.computeIfAbsent(message.origin(), _id -> new SeenSequences());
        if (message.sequence() <= sequences.highestEvicted || !sequences.seen.add(message.sequence())) {
            return false;
        }
        while (sequences.seen.size() > MAX_SEQUENCES) {
            sequences.highestEvicted = sequences.seen.pollFirst();
        }
        evictOldestOrigin();
        return true;
    }

    /** Forwards a broadcast to all connected processes except its origin and the process that delivered it. */
    static void forward(PeerMessage.BroadcastEnvelope message, ProcessId from, Links links) {
        for (ProcessId peer : Set.copyOf(links.connected())) {
            if (!peer.equals(from) && !peer.equals(message.origin())) {
                links.send(peer, message);
            }
        }
    }

    private void evictOldestOrigin() {
        if (seenByOrigin.size() > MAX_ORIGINS) {
            seenByOrigin.remove(seenByOrigin.keySet().iterator().next());
        }
    }
}
