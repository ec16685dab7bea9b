package org.geraniumstand.model.limits;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * Permission of a backend server's keeper to have requests in flight at it.
 *
 * @param server the backend server
 * @param holder the process that may use it
 * @param concurrency requests in flight that it allows
 * @param validMillis how long it holds from its receipt, in milliseconds
 * @param warm whether the keeper knows the server to be warm
 */
public record Grant(ServerId server, ProcessId holder, int concurrency, int validMillis, boolean warm) {}
