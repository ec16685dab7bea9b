package org.geraniumstand.decisions.relay;

/**
 * Describes what a process knows of the quota usage of the other processes.
 *
 * @param known whether recent sums of the usage are available
 * @param reporting number of processes whose usage is in the sums, including this one
 * @param processes number of processes among which the quotas are divided
 */
public record QuotaKnowledge(boolean known, int reporting, int processes) {}
