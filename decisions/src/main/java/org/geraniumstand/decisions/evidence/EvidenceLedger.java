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
 * Holds the evidence that this process has counted and that others have sent.
 *
 * <p>Each counter only grows and belongs to one process incarnation, so rows merge by maximum: in any order, in any
 * grouping and any number of times. Source: Shapiro and others, "Conflict-Free Replicated Data Types", 2011 (G-counter).
 */
public final class EvidenceLedger {
    /** Rows that are held at most: 330 processes, 8 routes, 2 versions, 2 moves at once, and as many restarts again. */
    static final int MAX_ROWS = 24_000;

    private final ProcessId self;
    private final Map<EvidenceKey, Tally> rows = new HashMap<>();
    private final Map<Subject, Tally> totals = new HashMap<>();
    private final Map<ServiceId, List<RouteId>> routes = new HashMap<>();
    private final Set<EvidenceKey> changed = new LinkedHashSet<>();

    private record Subject(ServiceId service, VersionId version, RouteId route) {}

    /**
     * Creates an empty ledger.
     *
     * @param self the process incarnation whose own rows it counts
     */
    public EvidenceLedger(ProcessId self) {
        this.self = self;
    }

    /**
     * Changes a row of this process.
     *
     * @param service the service
     * @param version its version
     * @param route the route
     * @param change adds to the counts
     */
    public void count(ServiceId service, VersionId version, RouteId route, UnaryOperator<Tally> change) {
        EvidenceKey key = new EvidenceKey(self, service, version, route);
        store(key, change.apply(rows.getOrDefault(key, Tally.NONE)));
        changed.add(key);
    }

    /**
     * Takes in rows of other processes.
     *
     * @param received the rows
     * @param wanted tells which subjects are of interest; other rows are dropped
     */
    public void merge(List<EvidenceRow> received, Predicate<EvidenceKey> wanted) {
        for (EvidenceRow row : received) {
            EvidenceKey key = row.key();
            Tally held = rows.get(key);
            boolean room = held != null || rows.size() < MAX_ROWS;
            if (room && !key.process().equals(self) && wanted.test(key)) {
                store(key, held == null ? Tally.of(row) : held.max(Tally.of(row)));
            }
        }
    }

    /**
     * Drops all rows that are no longer of interest.
     *
     * @param wanted tells which subjects are of interest
     */
    public void retain(Predicate<EvidenceKey> wanted) {
        rows.keySet().removeIf(wanted.negate());
        changed.removeIf(wanted.negate());
        totals.clear();
        routes.clear();
        rows.forEach((key, tally) -> add(subjectOf(key), tally));
    }

    /**
     * Returns the counts over all processes.
     *
     * @param service the service
     * @param version its version
     * @param route the route
     */
    public Tally total(ServiceId service, VersionId version, RouteId route) {
        return totals.getOrDefault(new Subject(service, version, route), Tally.NONE);
    }

    /**
     * Returns the counts of this process alone.
     *
     * @param service the service
     * @param version its version
     * @param route the route
     */
    public Tally own(ServiceId service, VersionId version, RouteId route) {
        return rows.getOrDefault(new EvidenceKey(self, service, version, route), Tally.NONE);
    }

    /**
     * Returns the routes that a service has evidence about.
     *
     * @param service the service
     */
    public List<RouteId> routes(ServiceId service) {
        return routes.getOrDefault(service, List.of());
    }

    /**
     * Takes own rows that changed since they were taken last, the longest unsent first.
     *
     * @param maxBytes size of the rows that are taken at most; one row is taken in any case
     * @param wanted tells which rows may be taken now
     */
    public List<EvidenceRow> takeChanged(long maxBytes, Predicate<EvidenceKey> wanted) {
        List<EvidenceRow> taken = new ArrayList<>();
        long bytes = 0;
        for (EvidenceKey key : changed.stream().filter(wanted).toList()) {
            EvidenceRow row = rowOf(key);
            bytes += RowSize.bytes(row);
            if (bytes > maxBytes && !taken.isEmpty()) {
                break;
            }
            changed.remove(key);
            taken.add(row);
        }
        return taken;
    }

    /** Marks all own rows as changed, so that processes that joined late or missed a message get them. */
    public void repeatOwn() {
        rows.keySet().stream().filter(key -> key.process().equals(self)).forEach(changed::add);
    }

    /** Returns the number of rows held. */
    public int size() {
        return rows.size();
    }

    private EvidenceRow rowOf(EvidenceKey key) {
        Tally tally = rows.getOrDefault(key, Tally.NONE);
        return new EvidenceRow(key, tally.requests(), tally.failures(), tally.bucketList());
    }

    private void store(EvidenceKey key, Tally next) {
        Tally held = rows.put(key, next);
        Tally added = held == null ? next : next.minus(held);
        add(subjectOf(key), added);
    }

    private void add(Subject subject, Tally added) {
        Tally total = totals.merge(subject, added, Tally::plus);
        List<RouteId> known = routes.getOrDefault(subject.service(), List.of());
        if (total == added && !known.contains(subject.route())) {
            List<RouteId> next = new ArrayList<>(known);
            next.add(subject.route());
            next.sort(null);
            routes.put(subject.service(), List.copyOf(next));
        }
    }

    private static Subject subjectOf(EvidenceKey key) {
        return new Subject(key.service(), key.version(), key.route());
    }
}
