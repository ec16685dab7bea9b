package org.geraniumstand.model.status;

import org.geraniumstand.model.id.DataCentreId;

/**
 * A data centre as one process sees it.
 *
 * @param dataCentre the data centre
 * @param out whether it takes no new work
 * @param servers backend servers there
 * @param inFlight requests that this process has in flight there
 */
public record DataCentreStatus(DataCentreId dataCentre, boolean out, int servers, int inFlight) {}
