package org.geraniumstand.model.member;

import org.geraniumstand.model.id.ProcessId;

/**
 * Says that a process has a configuration in force.
 *
 * @param process the process
 * @param generation generation of the configuration
 */
public record Confirmation(ProcessId process, long generation) {}
