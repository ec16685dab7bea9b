package org.geraniumstand.decisions.relay;

/**
 * The bounds that relayed calls must keep, as the settings give them.
 *
 * @param retryRatio repeats allowed for each request of a service
 * @param retrySlack repeats allowed beside that, over all processes
 * @param retryWindowMillis window in which repeats are counted, in milliseconds
 * @param quotaSlack units by which a team may exceed its quota
 * @param quotaOverrun part by which a team may exceed its quota
 * @param assumedProcesses processes that are taken to share limits before they are known
 */
public record RelayBounds(
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        double quotaSlack,
        double quotaOverrun,
        int assumedProcesses) {}
