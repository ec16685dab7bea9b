package org.geraniumstand.peer.exchange;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.PeerMessage;

/** Asks one peer at a time for a newer configuration, so that the document arrives once; belongs to one thread. */
final class ConfigurationPull {
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Links links;
    private final Map<ProcessId, Long> generations = new HashMap<>();
    private final Set<ProcessId> unhelpful = new HashSet<>();
    private Optional<Ask> pending = Optional.empty();
    private long wanted;

    private record Ask(ProcessId peer, long sinceNanos) {}

    ConfigurationPull(Links links) {
        this.links = links;
    }

    void onGeneration(ProcessId peer, long generation) {
        Long before = generations.put(peer, generation);
        if (before == null || before != generation) {
            unhelpful.remove(peer);
        }
    }

    void onDisconnected(ProcessId peer) {
        generations.remove(peer);
        unhelpful.remove(peer);
        pending = pending.filter(ask -> !ask.peer().equals(peer));
    }

    /** Notes an answer; a peer whose answer did not help is not asked again for the same generation. */
    void onAnswer(ProcessId peer, long inForce) {
        pending = pending.filter(ask -> !ask.peer().equals(peer));
        if (inForce < generations.getOrDefault(peer, inForce)) {
            unhelpful.add(peer);
        }
    }

    void onTick(long inForce, long nowNanos) {
        if (pending.isPresent() && nowNanos - pending.get().sinceNanos() < ANSWER_NANOS) {
            return;
        }
        pending.ifPresent(ask -> unhelpful.add(ask.peer()));
        pending = Optional.empty();
        if (inForce != wanted) {
            wanted = inForce;
            unhelpful.clear();
        }
        Optional<ProcessId> peer = newest(inForce);
        if (peer.isEmpty()) {
            unhelpful.removeIf(id -> generations.getOrDefault(id, inForce) <= inForce);
            return;
        }
        if (links.send(peer.get(), new PeerMessage.ConfigurationAsk(inForce))) {
            pending = Optional.of(new Ask(peer.get(), nowNanos));
        }
    }

    private Optional<ProcessId> newest(long inForce) {
        return generations.entrySet().stream()
                .filter(e -> e.getValue() > inForce && !unhelpful.contains(e.getKey()))
                .max(Comparator.<Map.Entry<ProcessId, Long>>comparingLong(Map.Entry::getValue)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}
