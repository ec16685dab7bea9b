package org.geraniumstand.decisions.evidence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Stores the evidence counted by this process and received from others.
 *
 * <p>Each counter only grows and belongs to one process incarnation, so rows merge by maximum: in any order, in any
 * grouping and any number of times. Source: Shapiro and others, "Conflict-Free Replicated Data Types", 2011
 * (G-counter).
 */
public final class EvidenceTable {
    /**
     * Maximum number of rows: 330 processes, 8 routes, 2 versions, 2 concurrent moves, and the same number again for
     * restarts.
     */
    static final int MAX_ROWS = 24_000;

    private final ProcessId self;
    private final Map<EvidenceKey, Tally> rows = new HashMap<>();
    private final Map<TotalKey, Tally> totals = new HashMap<>();
    private final Map<ServiceId, List<RouteId>> routes = new HashMap<>();
    private final Set<EvidenceKey> changed = new LinkedHashSet<>();

    private record TotalKey(ServiceId service, VersionId version, RouteId route) {}

    /**
     * Creates an empty table.
     *
     * @param self the incarnation of this process
     */
    public EvidenceTable(ProcessId self) {
        this.self = self;
    }

    /**
     * Updates a row of this process.
     *
     * @param service the service
     * @param version the version of the service
     * @param route the route
     * @param update returns the new counts for the current ones
     */
    public void count(ServiceId service, VersionId version, RouteId route, UnaryOperator<Tally> update) {
        EvidenceKey key = new EvidenceKey(self, service, version, route);
        putRow(key, update.apply(rows.getOrDefault(key, Tally.NONE)));
        changed.add(key);
    }

    /**
     * Merges rows received from other processes.
     *
     * @param received the rows
     * @param isRelevant returns whether a row is relevant; other rows are ignored
     */
    public void merge(List<EvidenceRow> received, Predicate<EvidenceKey> isRelevant) {
        for (EvidenceRow row : received) {
            EvidenceKey key = row.key();
            Tally current = rows.get(key);
            boolean hasCapacity = current != null || rows.size() < MAX_ROWS;
            if (hasCapacity && !key.process().equals(self) && isRelevant.test(key)) {
                putRow(key, current == null ? Tally.of(row) : current.max(Tally.of(row)));
            }
        }
    }

    /**
     * Removes all rows that are no longer relevant.
     *
     * @param isRelevant returns whether a row is relevant
     */
    public void retain(Predicate<EvidenceKey> isRelevant) {
        rows.keySet().removeIf(isRelevant.negate());
        changed.removeIf(isRelevant.negate());
        totals.clear();
        routes.clear();
        rows.forEach((key, tally) -> addToTotal(totalKeyOf(key), tally));
    }

    /**
     * Returns the counts over all processes.
     *
     * @param service the service
     * @param version the version of the service
     * @param route the route
     */
    public Tally total(ServiceId service, VersionId version, RouteId route) {
        return totals.getOrDefault(new TotalKey(service, version, route), Tally.NONE);
    }

    /**
     * Returns the counts of this process.
     *
     * @param service the service
     * @param version the version of the service
     * @param route the route
     */
    public Tally ownCounts(ServiceId service, VersionId version, RouteId route) {
        return rows.getOrDefault(new EvidenceKey(self, service, version, route), Tally.NONE);
    }

    /**
     * Returns the routes for which a service has evidence.
     *
     * @param service the service
     */
    public List<RouteId> routes(ServiceId service) {
        return routes.getOrDefault(service, List.of());
    }

    /**
     * Returns rows of this process that changed since they were last drained, the least recently changed first, and
     * marks them as sent.
     *
     * @param maxBytes maximum estimated size of the rows in bytes; at least one row is returned regardless of its size
     * @param isSendable returns whether a row may be sent now
     */
    public List<EvidenceRow> drainChanged(long maxBytes, Predicate<EvidenceKey> isSendable) {
        List<EvidenceRow> drained = new ArrayList<>();
        long bytes = 0;
        for (EvidenceKey key : changed.stream().filter(isSendable).toList()) {
            EvidenceRow row = rowOf(key);
            bytes += RowSize.estimateBytes(row);
            if (bytes > maxBytes && !drained.isEmpty()) {
                break;
            }
            changed.remove(key);
            drained.add(row);
        }
        return drained;
    }

    /**
     * Marks all rows of this process as changed, so that processes that joined late or missed a message receive them.
     */
    public void markOwnChanged() {
        rows.keySet().stream().filter(key -> key.process().equals(self)).forEach(changed::add);
    }

    /** Returns the number of stored rows. */
    public int size() {
        return rows.size();
    }

    private EvidenceRow rowOf(EvidenceKey key) {
        Tally tally = rows.getOrDefault(key, Tally.NONE);
        return new EvidenceRow(key, tally.requests(), tally.failures(), tally.bucketList());
    }

    private void putRow(EvidenceKey key, Tally updated) {
        Tally current = rows.put(key, updated);
        Tally delta = current == null ? updated : updated.minus(current);
        addToTotal(totalKeyOf(key), delta);
    }

    private void addToTotal(TotalKey totalKey, Tally delta) {
        Tally total = totals.merge(totalKey, delta, Tally::plus);
        List<RouteId> currentRoutes = routes.getOrDefault(totalKey.service(), List.of());
        if (total == delta && !currentRoutes.contains(totalKey.route())) {
            List<RouteId> sortedRoutes = new ArrayList<>(currentRoutes);
            sortedRoutes.add(totalKey.route());
            sortedRoutes.sort(null);
            routes.put(totalKey.service(), List.copyOf(sortedRoutes));
        }
    }

    private static TotalKey totalKeyOf(EvidenceKey key) {
        return new TotalKey(key.service(), key.version(), key.route());
    }
}
