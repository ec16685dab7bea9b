package org.geraniumstand.decisions.moves;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.decisions.evidence.EvidenceLedger;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Moment;

/** What all moves of a process share: the evidence, and the servers that may take work. */
final class MoveContext {
    private static final int DEFAULT_PEERS = 8;

    private final ProcessId self;
    private final EvidenceLedger ledger;
    private final ServerWarmth warmth = new ServerWarmth();
    private final HeldFailures held = new HeldFailures();
    private final Set<ServerId> usable = new HashSet<>();
    private List<BackendServer> fleet = List.of();
    private int peers = DEFAULT_PEERS;

    MoveContext(ProcessId self) {
        this.self = self;
        this.ledger = new EvidenceLedger(self);
    }

    ProcessId self() {
        return self;
    }

    EvidenceLedger ledger() {
        return ledger;
    }

    ServerWarmth warmth() {
        return warmth;
    }

    HeldFailures held() {
        return held;
    }

    int peers() {
        return peers;
    }

    void peers(int count) {
        peers = count;
    }

    void fleet(List<BackendServer> servers) {
        fleet = servers.stream().filter(server -> !server.leaving()).toList();
        usable.clear();
        fleet.forEach(server -> usable.add(server.id()));
        warmth.retain(usable);
    }

    boolean usable(ServerId server) {
        return usable.contains(server);
    }

    /** Returns the usable servers of a version. */
    List<BackendServer> servers(ServiceId service, VersionId version) {
        return fleet.stream()
                .filter(server ->
                        server.service().equals(service) && server.version().equals(version))
                .toList();
    }

    /** Returns those of some servers that are warm. */
    List<BackendServer> warm(List<BackendServer> servers, Moment now) {
        return servers.stream()
                .filter(server -> warmth.isWarm(server.id(), now))
                .toList();
    }
}
