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
 * Merges this process's reads of the platform's server list with changes that other processes observed first.
 *
 * <p>The list lags by different times for different readers, so a read that contradicts a recent change is ignored for
 * 30 s, and only changes that require a prompt reaction are forwarded. This class is not thread-safe.
 */
@Decision(
        name = "fleet-view",
        summary = "A change of the platform's server list that any process observed overrides contradicting reads for"
                + " half a minute.")
public final class DiscoveryView {
    /** Time for which a change overrides reads that do not show it yet, in nanoseconds. */
    public static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
    private final Map<HostId, ReclaimNotice> notices = new LinkedHashMap<>();
    private final Map<ServerId, Long> serverHoldStarts = new HashMap<>();
    private final Map<HostId, Long> noticeHoldStarts = new HashMap<>();
    private boolean hasRead;

    /** Creates an empty view. */
    public DiscoveryView() {}

    /** Returns the known backend servers. */
    public List<BackendServer> servers() {
        return List.copyOf(servers.values());
    }

    /** Returns the active reclaim notices. */
    public List<ReclaimNotice> notices() {
        return List.copyOf(notices.values());
    }

    /** Returns whether this process has read the list itself; until then the view may be incomplete. */
    public boolean hasRead() {
        return hasRead;
    }

    /**
     * Applies a change that another process observed.
     *
     * @param change the change
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     */
    public void onChange(FleetChange change, long nowNanos) {
        for (BackendServer server : change.servers()) {
            servers.put(server.id(), server);
            serverHoldStarts.put(server.id(), nowNanos);
        }
        for (ServerId id : change.removed()) {
            servers.remove(id);
            serverHoldStarts.put(id, nowNanos);
        }
        for (ReclaimNotice notice : change.notices()) {
            notices.put(notice.host(), notice);
            noticeHoldStarts.put(notice.host(), nowNanos);
        }
    }

    /**
     * Applies a read of the list.
     *
     * @param listed all listed backend servers
     * @param listedNotices all listed reclaim notices
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     * @return the changes to send to other processes immediately; empty for the first read
     */
    public FleetChange onRead(List<BackendServer> listed, List<ReclaimNotice> listedNotices, long nowNanos) {
        serverHoldStarts.values().removeIf(since -> nowNanos - since > HOLD_NANOS);
        noticeHoldStarts.values().removeIf(since -> nowNanos - since > HOLD_NANOS);
        FleetChange change = new FleetChange(urgentChanges(listed), removeMissing(listed), newNotices(listedNotices));
        listed.stream()
                .filter(server -> !serverHoldStarts.containsKey(server.id()))
                .forEach(server -> servers.put(server.id(), server));
        boolean firstRead = !hasRead;
        hasRead = true;
        return firstRead ? new FleetChange(List.of(), List.of(), List.of()) : change;
    }

    private List<BackendServer> urgentChanges(List<BackendServer> listed) {
        return listed.stream()
                .filter(server -> !serverHoldStarts.containsKey(server.id()))
                .filter(server -> isUrgent(servers.get(server.id()), server))
                .toList();
    }

    private static boolean isUrgent(BackendServer previous, BackendServer current) {
        return previous == null || (current.leaving() && !previous.leaving());
    }

    private List<ServerId> removeMissing(List<BackendServer> listed) {
        List<ServerId> listedIds = listed.stream().map(BackendServer::id).toList();
        List<ServerId> removed = new ArrayList<>(servers.keySet());
        removed.removeAll(listedIds);
        removed.removeIf(serverHoldStarts::containsKey);
        servers.keySet().removeAll(removed);
        return removed;
    }

    private List<ReclaimNotice> newNotices(List<ReclaimNotice> listed) {
        List<HostId> listedHosts = listed.stream().map(ReclaimNotice::host).toList();
        notices.keySet().removeIf(host -> !listedHosts.contains(host) && !noticeHoldStarts.containsKey(host));
        List<ReclaimNotice> added = listed.stream()
                .filter(notice -> !notices.containsKey(notice.host()))
                .toList();
        listed.forEach(notice -> notices.put(notice.host(), notice));
        return added;
    }
}
