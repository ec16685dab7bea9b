package org.geraniumstand.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;

/**
 * Merges what this process read of the platform's list with the changes that others saw first.
 *
 * <p>The list lags by different times for different readers, so a read that contradicts a change is ignored for a
 * while, and only news that calls for quick action is passed on. It belongs to one thread.
 */
@Decision(
        name = "fleet-view",
        summary = "A change of the platform's list that any process saw holds against older reads for half a minute.")
public final class FleetView {
    /** Time for which a change holds against reads that do not show it yet, in nanoseconds. */
    public static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
    private final Map<HostId, ReclaimNotice> notices = new LinkedHashMap<>();
    private final Map<ServerId, Long> held = new HashMap<>();
    private final Map<HostId, Long> heldNotices = new HashMap<>();
    private boolean read;

    /** Creates an empty view. */
    public FleetView() {}

    /** Returns the backend servers as far as known. */
    public List<BackendServer> servers() {
        return List.copyOf(servers.values());
    }

    /** Returns the reclaim notices that stand. */
    public List<ReclaimNotice> notices() {
        return List.copyOf(notices.values());
    }

    /** Returns whether this process has read the list itself; before that the view may be partial. */
    public boolean isRead() {
        return read;
    }

    /**
     * Takes in a change that another process saw.
     *
     * @param change the change
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onChange(FleetChange change, long nowNanos) {
        for (BackendServer server : change.servers()) {
            servers.put(server.id(), server);
            held.put(server.id(), nowNanos);
        }
        for (ServerId id : change.removed()) {
            servers.remove(id);
            held.put(id, nowNanos);
        }
        for (ReclaimNotice notice : change.notices()) {
            notices.put(notice.host(), notice);
            heldNotices.put(notice.host(), nowNanos);
        }
    }

    /**
     * Takes in a read of the list.
     *
     * @param listed all backend servers listed
     * @param listedNotices all notices listed
     * @param nowNanos the monotonic time in nanoseconds
     * @return what others should hear of at once; empty for the first read
     */
    public FleetChange onRead(List<BackendServer> listed, List<ReclaimNotice> listedNotices, long nowNanos) {
        held.values().removeIf(since -> nowNanos - since > HOLD_NANOS);
        heldNotices.values().removeIf(since -> nowNanos - since > HOLD_NANOS);
        FleetChange change = new FleetChange(news(listed), removeMissing(listed), newNotices(listedNotices));
        listed.stream().filter(s -> !held.containsKey(s.id())).forEach(s -> servers.put(s.id(), s));
        boolean first = !read;
        read = true;
        return first ? new FleetChange(List.of(), List.of(), List.of()) : change;
    }

    private List<BackendServer> news(List<BackendServer> listed) {
        return listed.stream()
                .filter(s -> !held.containsKey(s.id()))
                .filter(s -> isNews(servers.get(s.id()), s))
                .toList();
    }

    private static boolean isNews(BackendServer before, BackendServer now) {
        return before == null || (now.leaving() && !before.leaving());
    }

    private List<ServerId> removeMissing(List<BackendServer> listed) {
        List<ServerId> ids = listed.stream().map(BackendServer::id).toList();
        List<ServerId> removed = new ArrayList<>(servers.keySet());
        removed.removeAll(ids);
        removed.removeIf(held::containsKey);
        servers.keySet().removeAll(removed);
        return removed;
    }

    private List<ReclaimNotice> newNotices(List<ReclaimNotice> listed) {
        List<HostId> hosts = listed.stream().map(ReclaimNotice::host).toList();
        notices.keySet().removeIf(host -> !hosts.contains(host) && !heldNotices.containsKey(host));
        List<ReclaimNotice> fresh =
                listed.stream().filter(n -> !notices.containsKey(n.host())).toList();
        listed.forEach(n -> notices.put(n.host(), n));
        return fresh;
    }
}
