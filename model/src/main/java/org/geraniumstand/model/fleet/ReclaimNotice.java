package org.geraniumstand.model.fleet;

import org.geraniumstand.model.id.HostId;

/**
 * Announces that the cloud provider will reclaim a host.
 *
 * @param host the host to be reclaimed
 * @param dueEpochMillis when the host is reclaimed, in milliseconds since 1970
 */
public record ReclaimNotice(HostId host, long dueEpochMillis) {}
