package org.geraniumstand.model.evidence;

import java.util.List;

/**
 * Holds the evidence that one process recorded about one version on one route: request counts and latencies, which
 * never decrease.
 *
 * @param key the process, version and route that the evidence refers to
 * @param requests completed attempts
 * @param failures failed attempts
 * @param latencyBuckets histogram of the time to first byte; bucket i counts attempts of at most
 *     {@link LatencyBuckets#upperMillis(int)} milliseconds
 */
public record EvidenceRow(EvidenceKey key, long requests, long failures, List<Long> latencyBuckets) {
    /** Makes a defensive copy of the list. */
    public EvidenceRow {
        latencyBuckets = List.copyOf(latencyBuckets);
    }
}
