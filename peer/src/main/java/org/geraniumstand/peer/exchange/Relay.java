package org.geraniumstand.peer.exchange;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.EncodedMessage;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.codec.MessageCodecs;

/** Numbers this process's broadcasts and recognises those of others that were seen before; belongs to one thread. */
final class Relay {
    private static final int ORIGINS_KEPT = 1_000;
    private static final int SEQUENCES_KEPT = 512;

    private final ProcessId self;
    private final Map<ProcessId, Window> windows = new LinkedHashMap<>();
    private long sequence;

    private static final class Window {
        private final TreeSet<Long> seen = new TreeSet<>();
        private long floor;
    }

    Relay(ProcessId self) {
        this.self = self;
    }

    PeerMessage.Relayed wrap(PeerMessage message) {
        sequence++;
        return new PeerMessage.Relayed(self, sequence, EncodedMessage.of(MessageCodecs.encode(message)));
    }

    /** Returns whether the message was not seen before. */
    boolean isNew(PeerMessage.Relayed message) {
        if (message.origin().equals(self)) {
            return false;
        }
        Window window = windows.computeIfAbsent(message.origin(), _id -> new Window());
        if (message.sequence() <= window.floor || !window.seen.add(message.sequence())) {
            return false;
        }
        while (window.seen.size() > SEQUENCES_KEPT) {
            window.floor = window.seen.pollFirst();
        }
        forgetOldest();
        return true;
    }

    /** Passes a message on to all but the processes that have it. */
    static void pass(PeerMessage.Relayed message, ProcessId from, Links links) {
        for (ProcessId peer : Set.copyOf(links.connected())) {
            if (!peer.equals(from) && !peer.equals(message.origin())) {
                links.send(peer, message);
            }
        }
    }

    private void forgetOldest() {
        if (windows.size() > ORIGINS_KEPT) {
            windows.remove(windows.keySet().iterator().next());
        }
    }
}
