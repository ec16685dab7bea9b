package org.geraniumstand.model.member;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;

/**
 * Describes an entry process as its peers see it.
 *
 * @param id identifier of the process, unique to one run of it
 * @param dataCentre the data centre that it runs in
 * @param address IP address of its peer listener
 * @param callerPort port of its listener for callers
 * @param peerPort port of its peer listener
 * @param operatorPort port of its operator listener
 * @param level protocol level that it supports
 * @param stopping whether it is shutting down
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
