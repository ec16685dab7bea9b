package org.geraniumstand.decisions.relay;

/**
 * The bounds that relayed calls must keep, as the settings give them.
 *
 * @param repeatRatio repeats allowed for each request of a service
 * @param repeatSlack repeats allowed beside that, over all processes
 * @param repeatWindowMillis window in which repeats are counted, in milliseconds
 * @param quotaSlack units by which a team may exceed its quota
 * @param quotaOverrun part by which a team may exceed its quota
 * @param processesAssumed processes that are taken to share limits before they are known
 */
public record RelayBounds(
        double repeatRatio,
        double repeatSlack,
        long repeatWindowMillis,
        double quotaSlack,
        double quotaOverrun,
        int processesAssumed) {}
