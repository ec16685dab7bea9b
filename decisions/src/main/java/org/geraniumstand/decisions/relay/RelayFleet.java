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
    private final Map<String, ServerView> newestAt = new HashMap<>();
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
        newestAt.merge(
                place(view),
                view,
                (old, next) -> old.server().bornMillis() > next.server().bornMillis() ? old : next);
    }

    private static String place(ServerView view) {
        return view.server().address() + ":" + view.server().port();
    }

    /** The entry of a server that crashed stays for some seconds, in which another may start at its address. */
    private boolean replaced(ServerView view) {
        ServerView newest = newestAt.get(place(view));
        return newest != null && newest.server().bornMillis() > view.server().bornMillis();
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
            newestAt.remove(place(view), view);
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
            boolean here = !out.contains(view.server().dataCentre());
            if (here && !view.server().leaving() && !replaced(view)) {
                taking.add(view);
            }
        }
        return taking;
    }
}
