package org.geraniumstand.model.member;

import org.geraniumstand.model.id.ProcessId;

/**
 * Confirms that a process has applied a configuration.
 *
 * @param process the process
 * @param generation generation of the applied configuration
 */
public record AppliedGeneration(ProcessId process, long generation) {}
