package org.geraniumstand.model.fleet;

import org.geraniumstand.model.id.HostId;

/**
 * The cloud's notice that it takes a host back.
 *
 * @param host the host
 * @param dueEpochMillis when the host goes, in milliseconds since 1970
 */
public record ReclaimNotice(HostId host, long dueEpochMillis) {}
