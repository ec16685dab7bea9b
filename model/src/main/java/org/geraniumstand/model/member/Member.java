package org.geraniumstand.model.member;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;

/**
 * An entry process as its peers know it.
 *
 * @param id the incarnation
 * @param dataCentre where it runs
 * @param address IP number of its peer listener
 * @param callerPort port of its listener for callers
 * @param peerPort port of its peer listener
 * @param operatorPort port of its operators' listener
 * @param level protocol level that it speaks
 * @param stopping whether it stops
 */
public record Member(
        ProcessId id,
        DataCentreId dataCentre,
        String address,
        int callerPort,
        int peerPort,
        int operatorPort,
        int level,
        boolean stopping) {}
