package org.geraniumstand.decisions.relay;

/**
 * Holds the limits that relayed calls must stay within, taken from the settings.
 *
 * @param retryRatio retries allowed per request of a service
 * @param retrySlack additional retries allowed over all processes, regardless of the number of requests
 * @param retryWindowMillis length of the window in which retries are counted, in milliseconds
 * @param quotaSlack units by which a team may exceed its quota
 * @param quotaOverrun fraction by which a team may exceed its quota
 * @param assumedProcesses number of processes assumed to share the limits until the actual number is known
 */
public record RelayBounds(
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        double quotaSlack,
        double quotaOverrun,
        int assumedProcesses) {}
