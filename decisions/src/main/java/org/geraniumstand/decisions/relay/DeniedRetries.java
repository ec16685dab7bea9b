package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.id.ServiceId;

/**
 * Reports retries that the retry budget of a service denied.
 *
 * @param service the service
 * @param count retries denied since the last report for the service
 * @param budget the budget when it denied the last one
 * @param processes number of processes that shared the slack
 * @param ageMillis time since the process started, in milliseconds
 */
public record DeniedRetries(
        ServiceId service, int count, RelayRetryBudget.Usage budget, int processes, long ageMillis) {}
