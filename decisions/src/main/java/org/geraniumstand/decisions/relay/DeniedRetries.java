package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.id.ServiceId;

/**
 * Reports retries that the retry budget of a service denied.
 *
 * @param service the service
 * @param count retries denied since the last report for the service
 * @param budget the budget when it denied the last one
 * @param slackShare fraction of the slack that the process could use; 0 while it is starting
 * @param ageMillis time since the process started, in milliseconds
 */
public record DeniedRetries(
        ServiceId service, int count, RelayRetryBudget.Usage budget, double slackShare, long ageMillis) {}
