package org.geraniumstand.model.limits;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * Grants a process a share of a backend server's concurrency; it is issued by the server's owner.
 *
 * @param server the backend server
 * @param holder the process that may use the share
 * @param concurrency maximum number of requests in flight
 * @param validMillis validity from the time of receipt, in milliseconds
 * @param warm whether the owner considers the server warm
 */
public record Grant(ServerId server, ProcessId holder, int concurrency, int validMillis, boolean warm) {}
