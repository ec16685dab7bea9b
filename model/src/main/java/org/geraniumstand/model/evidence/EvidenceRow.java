package org.geraniumstand.model.evidence;

import java.util.List;

/**
 * Counters of one process about one version on one route; each only grows.
 *
 * @param key what the row speaks about
 * @param requests attempts that ended
 * @param failures attempts that failed
 * @param latencyBuckets attempts by time to first byte; bucket i counts those up to
 *     {@link LatencyBuckets#upperMillis(int)} milliseconds
 */
public record EvidenceRow(EvidenceKey key, long requests, long failures, List<Long> latencyBuckets) {
    /** Copies the list. */
    public EvidenceRow {
        latencyBuckets = List.copyOf(latencyBuckets);
    }
}
