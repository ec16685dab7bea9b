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

/**
 * Requests a newer configuration from one peer at a time, so that it is transferred only once; confined to one thread.
 */
final class ConfigurationPull {
    private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Links links;
    private final Map<ProcessId, Long> generations = new HashMap<>();
    private final Set<ProcessId> excluded = new HashSet<>();
    private Optional<Request> pending = Optional.empty();
    private long lastGeneration;

    private record Request(ProcessId peer, long sentNanos) {}

    ConfigurationPull(Links links) {
        this.links = links;
    }

    void onGeneration(ProcessId peer, long generation) {
        Long previous = generations.put(peer, generation);
        if (previous == null || previous != generation) {
            excluded.remove(peer);
        }
    }

    void onDisconnected(ProcessId peer) {
        generations.remove(peer);
        excluded.remove(peer);
        pending = pending.filter(request -> !request.peer().equals(peer));
    }

    /**
     * Records a response.
     *
     * <p>A peer whose response did not yield the generation that it reported is not asked again for that generation.
     */
    void onResponse(ProcessId peer, long inForce) {
        pending = pending.filter(request -> !request.peer().equals(peer));
        if (inForce < generations.getOrDefault(peer, inForce)) {
            excluded.add(peer);
        }
    }

    void onTick(long inForce, long nowNanos) {
        if (pending.isPresent() && nowNanos - pending.get().sentNanos() < RESPONSE_TIMEOUT_NANOS) {
            return;
        }
        pending.ifPresent(request -> excluded.add(request.peer()));
        pending = Optional.empty();
        if (inForce != lastGeneration) {
            lastGeneration = inForce;
            excluded.clear();
        }
        Optional<ProcessId> peer = newestPeer(inForce);
        if (peer.isEmpty()) {
            excluded.removeIf(id -> generations.getOrDefault(id, inForce) <= inForce);
            return;
        }
        if (links.send(peer.get(), new PeerMessage.ConfigurationRequest(inForce))) {
            pending = Optional.of(new Request(peer.get(), nowNanos));
        }
    }

    private Optional<ProcessId> newestPeer(long inForce) {
        return generations.entrySet().stream()
                .filter(entry -> entry.getValue() > inForce && !excluded.contains(entry.getKey()))
                .max(Comparator.<Map.Entry<ProcessId, Long>>comparingLong(Map.Entry::getValue)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}
