package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.ServerLoss;
import org.geraniumstand.model.relay.ServerUse;
import org.geraniumstand.model.time.Moment;

/** The backend servers that stand in the store, and the data centres that are outOfRotation. */
public final class RelayFleet {
    private final Map<ServerId, ServerView> servers = new HashMap<>();
    private final Map<ServiceId, List<ServerView>> byService = new HashMap<>();
    private final Map<String, ServerView> newestByEndpoint = new HashMap<>();
    private final Set<DataCentreId> outOfRotation = new HashSet<>();
    private final StoreStaleness storeStaleness = new StoreStaleness();

    /** Versions that services are ordered to move to. */
    private final Map<ServiceId, VersionId> targetVersions = new HashMap<>();

    /** Servers that may take work, until an entry or a data centre changes; each call asks for them. */
    private final Map<ServiceId, List<ServerView>> eligibleByService = new HashMap<>();

    /** Creates a fleet without servers. */
    public RelayFleet() {}

    /**
     * Takes in a server's entry.
     *
     * @param listed what the server says of itself
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onListed(RelayServer listed, long nowNanos) {
        eligibleByService.clear();
        ServerView known = servers.get(listed.id());
        boolean same = known != null
                && known.server().bornMillis() == listed.bornMillis()
                && known.server().service().equals(listed.service());
        if (same) {
            known.onListed(listed, nowNanos);
            return;
        }
        onGone(listed.id());
        ServerView view = new ServerView(listed, storeStaleness, nowNanos);
        servers.put(listed.id(), view);
        byService.computeIfAbsent(listed.service(), _key -> new ArrayList<>()).add(view);
        newestByEndpoint.merge(
                view.endpoint(),
                view,
                (first, second) -> first.server().bornMillis() > second.server().bornMillis() ? first : second);
    }

    /** The entry of a server that crashed stays for some seconds, in which another may start at its address. */
    private boolean isSuperseded(ServerView view) {
        ServerView newest = newestByEndpoint.get(view.endpoint());
        return newest != null && newest.server().bornMillis() > view.server().bornMillis();
    }

    /**
     * Takes in that a server's entry was removed or names no server.
     *
     * @param id the server
     */
    public void onGone(ServerId id) {
        eligibleByService.clear();
        ServerView view = servers.remove(id);
        if (view != null) {
            byService.get(view.server().service()).remove(view);
            newestByEndpoint.remove(view.endpoint(), view);
        }
    }

    /**
     * Takes in that all entries were read anew.
     *
     * @param listed the servers that have an entry
     */
    public void retain(Set<ServerId> listed) {
        for (ServerId id : List.copyOf(servers.keySet())) {
            if (!listed.contains(id)) {
                onGone(id);
            }
        }
    }

    /**
     * Takes in which data centres take no new work.
     *
     * @param dataCentre the data centre
     * @param isOut whether it isEligible none
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDataCentre(DataCentreId dataCentre, boolean isOut, long nowNanos) {
        Set<DataCentreId> updated = new HashSet<>(outOfRotation);
        if (isOut) {
            updated.add(dataCentre);
        } else {
            updated.remove(dataCentre);
        }
        onDataCentresOut(updated, nowNanos);
    }

    /**
     * Takes in which data centres take no new work, all of them.
     *
     * @param all the data centres that take none
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDataCentresOut(Set<DataCentreId> all, long nowNanos) {
        eligibleByService.clear();
        for (ServerView view : servers.values()) {
            DataCentreId dataCentre = view.server().dataCentre();
            if (outOfRotation.contains(dataCentre) && !all.contains(dataCentre)) {
                view.onDataCentreRestored(nowNanos);
            }
        }
        outOfRotation.clear();
        outOfRotation.addAll(all);
    }

    /**
     * Takes in that a service is ordered to move to a version.
     *
     * @param service the service
     * @param target the version
     */
    public void onOrdered(ServiceId service, VersionId target) {
        eligibleByService.clear();
        targetVersions.put(service, target);
    }

    /**
     * Takes in that no move of a service is ordered any more.
     *
     * @param service the service
     */
    public void onOrderGone(ServiceId service) {
        eligibleByService.clear();
        targetVersions.remove(service);
    }

    /**
     * Takes in which services are ordered to move, all of them.
     *
     * @param ordered the services
     */
    public void retainOrders(Set<ServiceId> ordered) {
        eligibleByService.clear();
        targetVersions.keySet().retainAll(ordered);
    }

    /** Returns the data centres that take no new work. */
    public Set<DataCentreId> dataCentresOut() {
        return Set.copyOf(outOfRotation);
    }

    /** Returns all servers. */
    public Collection<ServerView> all() {
        return servers.values();
    }

    /**
     * Returns what this process has in flight, by server; servers without any are left outOfRotation.
     */
    public List<ServerUse> inFlight() {
        List<ServerUse> uses = new ArrayList<>();
        for (ServerView view : servers.values()) {
            if (view.inFlight() > 0) {
                uses.add(new ServerUse(view.server().id(), view.inFlight()));
            }
        }
        return uses;
    }

    /**
     * Takes in what all other processes have in flight.
     *
     * @param uses their calls by server; servers that are left outOfRotation have none
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onOthersInFlight(List<ServerUse> uses, long nowNanos) {
        servers.values().forEach(view -> view.onRemoteInFlight(0, nowNanos));
        for (ServerUse use : uses) {
            ServerView view = servers.get(use.server());
            if (view != null) {
                view.onRemoteInFlight(use.calls(), nowNanos);
            }
        }
    }

    /**
     * Takes in that all changes in the store up to now are known.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onStoreInformed(long nowNanos) {
        storeStaleness.onUpToDate(nowNanos);
    }

    /**
     * Returns the servers that this process lost and whose entries may tell of a new start too late; empty while the store is heard
     * of.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<ServerLoss> lost(long nowNanos) {
        if (!storeStaleness.isStale(nowNanos)) {
            return List.of();
        }
        List<ServerLoss> losses = new ArrayList<>();
        for (ServerView view : servers.values()) {
            view.lostLocallyNanos()
                    .ifPresent(at ->
                            losses.add(new ServerLoss(view.server().id(), (nowNanos - at) / Moment.NANOS_PER_MILLI)));
        }
        return losses;
    }

    /**
     * Takes in which servers any process lost.
     *
     * @param losses the losses
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onLostByOthers(List<ServerLoss> losses, long nowNanos) {
        for (ServerLoss loss : losses) {
            ServerView view = servers.get(loss.server());
            if (view != null) {
                view.onLostRemotely(nowNanos - loss.ageMillis() * Moment.NANOS_PER_MILLI);
            }
        }
    }

    /**
     * Returns the servers of a service that may take new work.
     *
     * @param service the service
     */
    public List<ServerView> eligibleServers(ServiceId service) {
        return eligibleByService.computeIfAbsent(service, this::findEligible);
    }

    private List<ServerView> findEligible(ServiceId service) {
        List<ServerView> found = byService.getOrDefault(service, List.of()).stream()
                .filter(this::isEligible)
                .toList();
        VersionId target = targetVersions.get(service);
        return List.copyOf(target == null ? found : UnprovenVersionFilter.withoutUnproven(found, target));
    }

    /**
     * Returns whether a server isEligible work, as far as its entry and its data centre are concerned.
     *
     * @param view the server, which may be gone
     */
    public boolean isEligible(ServerView view) {
        RelayServer server = view.server();
        return servers.get(server.id()) == view
                && !server.leaving()
                && !outOfRotation.contains(server.dataCentre())
                && !isSuperseded(view);
    }
}
