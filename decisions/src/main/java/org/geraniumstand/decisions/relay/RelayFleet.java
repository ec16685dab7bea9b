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
import org.geraniumstand.model.relay.RelayServer;

/** The backend servers that stand in the store, and the data centres that are out. */
public final class RelayFleet {
    private final Map<ServerId, ServerView> servers = new HashMap<>();
    private final Map<ServiceId, List<ServerView>> byService = new HashMap<>();
    private final Set<DataCentreId> out = new HashSet<>();

    /** Creates a fleet without servers. */
    public RelayFleet() {}

    /**
     * Takes in a server's entry.
     *
     * @param listed what the server says of itself
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onListed(RelayServer listed, long nowNanos) {
        ServerView known = servers.get(listed.id());
        boolean same = known != null
                && known.server().bornMillis() == listed.bornMillis()
                && known.server().service().equals(listed.service());
        if (same) {
            known.list(listed, nowNanos);
            return;
        }
        onGone(listed.id());
        ServerView view = new ServerView(listed, nowNanos);
        servers.put(listed.id(), view);
        byService.computeIfAbsent(listed.service(), _key -> new ArrayList<>()).add(view);
    }

    /**
     * Takes in that a server's entry was removed or names no server.
     *
     * @param id the server
     */
    public void onGone(ServerId id) {
        ServerView view = servers.remove(id);
        if (view != null) {
            byService.get(view.server().service()).remove(view);
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
     * @param isOut whether it takes none
     */
    public void onDataCentre(DataCentreId dataCentre, boolean isOut) {
        if (isOut) {
            out.add(dataCentre);
        } else {
            out.remove(dataCentre);
        }
    }

    /**
     * Takes in which data centres take no new work, all of them.
     *
     * @param all the data centres that take none
     */
    public void onDataCentresOut(Set<DataCentreId> all) {
        out.clear();
        out.addAll(all);
    }

    /** Returns the data centres that take no new work. */
    public Set<DataCentreId> dataCentresOut() {
        return Set.copyOf(out);
    }

    /** Returns all servers. */
    public Collection<ServerView> all() {
        return servers.values();
    }

    /**
     * Returns the servers of a service that may take new work.
     *
     * @param service the service
     */
    public List<ServerView> takingWork(ServiceId service) {
        List<ServerView> taking = new ArrayList<>();
        for (ServerView view : byService.getOrDefault(service, List.of())) {
            if (!view.server().leaving() && !out.contains(view.server().dataCentre())) {
                taking.add(view);
            }
        }
        return taking;
    }
}
