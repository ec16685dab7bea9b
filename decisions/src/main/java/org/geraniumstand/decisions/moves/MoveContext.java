package org.geraniumstand.decisions.moves;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.decisions.evidence.EvidenceTable;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Timestamp;

/** Holds the state that all moves of a process share: the evidence and the servers that may receive work. */
final class MoveContext {
    private static final int DEFAULT_PEERS = 8;

    private final ProcessId self;
    private final EvidenceTable evidence;
    private final ServerWarmth warmth = new ServerWarmth();
    private final DeferredFailures deferredFailures = new DeferredFailures();
    private final Set<ServerId> usableIds = new HashSet<>();
    private List<BackendServer> usableServers = List.of();
    private int peerCount = DEFAULT_PEERS;

    MoveContext(ProcessId self) {
        this.self = self;
        this.evidence = new EvidenceTable(self);
    }

    ProcessId self() {
        return self;
    }

    EvidenceTable evidence() {
        return evidence;
    }

    ServerWarmth warmth() {
        return warmth;
    }

    DeferredFailures deferredFailures() {
        return deferredFailures;
    }

    int peerCount() {
        return peerCount;
    }

    void setPeerCount(int count) {
        peerCount = count;
    }

    void setServers(List<BackendServer> servers) {
        usableServers = servers.stream().filter(server -> !server.leaving()).toList();
        usableIds.clear();
        usableServers.forEach(server -> usableIds.add(server.id()));
        warmth.retain(usableIds);
    }

    boolean isUsable(ServerId server) {
        return usableIds.contains(server);
    }

    /** Returns the usable servers of a version. */
    List<BackendServer> serversOf(ServiceId service, VersionId version) {
        return usableServers.stream()
                .filter(server ->
                        server.service().equals(service) && server.version().equals(version))
                .toList();
    }

    /** Returns the warm servers among the given ones. */
    List<BackendServer> warmServers(List<BackendServer> servers, Timestamp now) {
        return servers.stream()
                .filter(server -> warmth.isWarm(server.id(), now))
                .toList();
    }
}
