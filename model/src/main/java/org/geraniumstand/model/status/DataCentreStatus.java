package org.geraniumstand.model.status;

import org.geraniumstand.model.id.DataCentreId;

/**
 * Reports the status of a data centre as observed by one process.
 *
 * @param dataCentre the data centre
 * @param out whether it is evacuated and accepts no new requests
 * @param servers number of backend servers in the data centre
 * @param inFlight number of this process's requests in flight in the data centre
 */
public record DataCentreStatus(DataCentreId dataCentre, boolean out, int servers, int inFlight) {}
