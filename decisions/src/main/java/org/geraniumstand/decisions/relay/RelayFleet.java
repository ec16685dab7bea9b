package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.SlownessNews;
import org.geraniumstand.model.time.Timestamp;

/** Tracks the backend servers that are registered in the store and the data centres that are out of service. */
public final class RelayFleet {
    /** Largest share of all servers that a process tells others it can't connect to. */
    private static final double MAX_NOT_CONNECTED_SHARE = 0.5;

    private final Map<ServerId, ServerView> servers = new HashMap<>();
    private final Map<ServiceId, List<ServerView>> byService = new HashMap<>();
    private final Map<String, ServerView> newestByEndpoint = new HashMap<>();
    private final Set<DataCentreId> outOfService = new HashSet<>();
    private final StoreStaleness storeStaleness = new StoreStaleness();
    private final SlownessForecast slownessForecast = new SlownessForecast();

    /** Versions that services have been ordered to move to. */
    private final Map<ServiceId, VersionId> targetVersions = new HashMap<>();

    /**
     * Cache of the servers that accept new work, consulted for each call; cleared when an entry or a data centre
     * changes.
     */
    private final Map<ServiceId, List<ServerView>> eligibleByService = new HashMap<>();

    private final ServerNotices notices = new ServerNotices();
    private final NamedServerLimits limits = new NamedServerLimits();
    private final ProcessEndpoints processEndpoints = new ProcessEndpoints();

    /** Creates a fleet without servers. */
    public RelayFleet() {}

    /**
     * Records a server's entry.
     *
     * @param listed the content of the entry
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onListed(RelayServer listed, long nowNanos) {
        eligibleByService.clear();
        ServerView existing = servers.get(listed.id());
        boolean same = existing != null
                && existing.server().startEpochMillis() == listed.startEpochMillis()
                && existing.server().service().equals(listed.service());
        if (same) {
            existing.onListed(listed, nowNanos);
            return;
        }
        onRemoved(listed.id());
        ServerView view = new ServerView(listed, storeStaleness, slownessForecast, nowNanos);
        servers.put(listed.id(), view);
        byService.computeIfAbsent(listed.service(), _key -> new ArrayList<>()).add(view);
        recordEndpoint(view);
    }

    private void recordEndpoint(ServerView view) {
        if (view.wasReplaced()) {
            return;
        }
        newestByEndpoint.merge(
                view.endpoint(),
                view,
                (first, second) ->
                        first.server().startEpochMillis() > second.server().startEpochMillis() ? first : second);
    }

    /**
     * Returns whether a newer server is registered at the same address. The entry of a crashed server remains for
     * several seconds, during which another server may start at its address.
     */
    private boolean isSuperseded(ServerView view) {
        ServerView newest = newestByEndpoint.get(view.endpoint());
        return newest != null
                && newest.server().startEpochMillis() > view.server().startEpochMillis();
    }

    /**
     * Records that a server's entry was deleted or no longer describes a server.
     *
     * @param id the server whose entry was deleted
     */
    public void onRemoved(ServerId id) {
        eligibleByService.clear();
        ServerView view = servers.remove(id);
        if (view != null) {
            byService.get(view.server().service()).remove(view);
            newestByEndpoint.remove(view.endpoint(), view);
        }
    }

    /**
     * Removes the servers whose entries were missing when all entries were read again.
     *
     * @param listed the servers that have an entry
     */
    public void retain(Set<ServerId> listed) {
        for (ServerId id : List.copyOf(servers.keySet())) {
            if (!listed.contains(id)) {
                onRemoved(id);
            }
        }
    }

    /**
     * Records whether a data centre is out of service.
     *
     * @param dataCentre the data centre whose state changed
     * @param isOut whether the data centre accepts no new work
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDataCentreState(DataCentreId dataCentre, boolean isOut, long nowNanos) {
        Set<DataCentreId> updated = new HashSet<>(outOfService);
        if (isOut) {
            updated.add(dataCentre);
        } else {
            updated.remove(dataCentre);
        }
        onDataCentresOut(updated, nowNanos);
    }

    /**
     * Replaces the set of data centres that are out of service.
     *
     * @param all the data centres that accept no new work
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDataCentresOut(Set<DataCentreId> all, long nowNanos) {
        eligibleByService.clear();
        for (ServerView view : servers.values()) {
            DataCentreId dataCentre = view.server().dataCentre();
            if (outOfService.contains(dataCentre) && !all.contains(dataCentre)) {
                view.onDataCentreRestored(nowNanos);
            }
        }
        outOfService.clear();
        outOfService.addAll(all);
    }

    /**
     * Replaces the addresses at which entry processes listen; entries with such an address name no server.
     *
     * @param endpoints addresses and ports, separated by a colon
     */
    public void onProcessEndpoints(Set<String> endpoints) {
        eligibleByService.clear();
        processEndpoints.onProcesses(endpoints);
    }

    /**
     * Returns whether a live entry process listens at the address of an entry.
     *
     * @param server the content of the entry
     */
    public boolean isProcessEndpoint(RelayServer server) {
        return processEndpoints.isProcess(server.endpoint());
    }

    /**
     * Records an order to move a service to a version.
     *
     * @param service the service to move
     * @param target the version to move to
     */
    public void onVersionOrdered(ServiceId service, VersionId target) {
        eligibleByService.clear();
        targetVersions.put(service, target);
    }

    /**
     * Records that the order to move a service was removed.
     *
     * @param service the service whose order was removed
     */
    public void onVersionOrderRemoved(ServiceId service) {
        eligibleByService.clear();
        targetVersions.remove(service);
    }

    /**
     * Removes the orders of all services except the given ones.
     *
     * @param ordered the services that have an order
     */
    public void retainOrders(Set<ServiceId> ordered) {
        eligibleByService.clear();
        targetVersions.keySet().retainAll(ordered);
    }

    /** Returns the data centres that are out of service. */
    public Set<DataCentreId> dataCentresOut() {
        return Set.copyOf(outOfService);
    }

    /** Returns all servers. */
    public Collection<ServerView> all() {
        return servers.values();
    }

    /**
     * Returns a server, if it is registered.
     *
     * @param id the server to look up
     */
    Optional<ServerView> view(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Returns the calls that this process has in flight and what it heard of the hosts, by server; servers with neither are
     * omitted.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<ServerInFlight> inFlight(long nowNanos) {
        List<ServerInFlight> inFlightByServer = new ArrayList<>();
        for (ServerView view : servers.values()) {
            Optional<SlownessNews> slowness = view.slownessNews(nowNanos);
            if (view.inFlight() > 0 || slowness.isPresent()) {
                inFlightByServer.add(new ServerInFlight(
                        view.server().id(), view.inFlight(), Math.round(view.pendingTokens()), slowness));
            }
        }
        return inFlightByServer;
    }

    /**
     * Records the calls that all other processes have in flight.
     *
     * @param inFlightByServer their calls by server; omitted servers have none
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRemoteInFlight(List<ServerInFlight> inFlightByServer, long nowNanos) {
        servers.values().forEach(view -> view.onRemoteInFlight(0, 0, nowNanos));
        for (ServerInFlight serverInFlight : inFlightByServer) {
            ServerView view = servers.get(serverInFlight.server());
            if (view != null) {
                view.onRemoteInFlight(serverInFlight.calls(), serverInFlight.pendingTokens(), nowNanos);
                serverInFlight.slowness().ifPresent(news -> view.onSlownessNews(news, nowNanos));
            }
        }
    }

    /**
     * Records that the view of the store is up to date.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onStoreUpToDate(long nowNanos) {
        storeStaleness.onUpToDate(nowNanos);
    }

    /**
     * Returns the servers that this process lost contact with while their entries may not yet reflect a restart, and those
     * that it could not connect to a moment ago.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<LostServer> lostServers(long nowNanos) {
        List<LostServer> losses = new ArrayList<>();
        List<LostServer> notConnected = new ArrayList<>();
        boolean stale = storeStaleness.isStale(nowNanos);
        for (ServerView view : servers.values()) {
            ServerId id = view.server().id();
            if (stale) {
                view.lostLocallyNanos().ifPresent(at -> losses.add(new LostServer(id, ageMillis(at, nowNanos))));
            }
            view.notConnectedNanos(nowNanos)
                    .ifPresent(at -> notConnected.add(new LostServer(id, ageMillis(at, nowNanos), 1)));
        }
        // A process that can't connect to most servers is more likely cut off itself.
        if (notConnected.size() <= MAX_NOT_CONNECTED_SHARE * servers.size()) {
            losses.addAll(notConnected);
        }
        return losses;
    }

    private static long ageMillis(long atNanos, long nowNanos) {
        return (nowNanos - atNanos) / Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Records the servers that any process lost contact with.
     *
     * @param losses the lost servers, with the age of each loss
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRemoteLosses(List<LostServer> losses, long nowNanos) {
        for (LostServer loss : losses) {
            ServerView view = servers.get(loss.server());
            if (view == null) {
                continue;
            }
            long at = nowNanos - loss.ageMillis() * Timestamp.NANOS_PER_MILLI;
            if (loss.processes() > 0) {
                view.onNotConnectedRemotely(at, loss.processes());
            } else {
                view.onLostRemotely(at);
            }
        }
    }

    /**
     * Returns the servers that are avoided because other processes could not connect to them.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Set<ServerId> avoidedServers(long nowNanos) {
        Set<ServerId> avoided = new HashSet<>();
        for (ServerView view : servers.values()) {
            if (view.avoided(nowNanos)) {
                avoided.add(view.server().id());
            }
        }
        return avoided;
    }

    /**
     * Records that another process answered at a server's address, so that the server's entry no longer supersedes others
     * there.
     *
     * @param view the server that did not answer
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onReplaced(ServerView view, long nowNanos) {
        view.onReplaced(nowNanos);
        newestByEndpoint.remove(view.endpoint());
        servers.values().stream()
                .filter(other -> other.endpoint().equals(view.endpoint()))
                .forEach(this::recordEndpoint);
        eligibleByService.clear();
    }

    /**
     * Records what a server announces in an answer.
     *
     * @param view the server that answered
     * @param leaving whether it announces that it leaves
     * @param pauseMillis length of the pause that it asks for, in milliseconds, if it does
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the server announces for the first time that it leaves
     */
    public boolean onNotice(ServerView view, boolean leaving, OptionalLong pauseMillis, long nowNanos) {
        pauseMillis.ifPresent(millis -> notices.onPause(view.server(), millis, nowNanos));
        boolean first = leaving && notices.onLeaving(view.server());
        if (first) {
            eligibleByService.clear();
        }
        return first;
    }

    /** Returns the limits that servers have named. */
    public NamedServerLimits limits() {
        return limits;
    }

    /** Returns the remaining pause that a server has asked for, in milliseconds, zero if there is none. */
    long pauseMillis(ServerView view, long nowNanos) {
        return notices.pauseMillis(view.server(), nowNanos);
    }

    /**
     * Returns the servers of a service that accept new work.
     *
     * @param service the service to look up
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
     * Returns whether a server accepts work according to its entry and its data centre.
     *
     * @param view the server, which may have been removed
     */
    public boolean isEligible(ServerView view) {
        RelayServer server = view.server();
        return servers.get(server.id()) == view
                && !server.draining()
                && !notices.isLeaving(server)
                && !outOfService.contains(server.dataCentre())
                && !processEndpoints.isProcess(view.endpoint())
                && !isSuperseded(view);
    }
}
