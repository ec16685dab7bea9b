package org.geraniumstand.model.config;

import org.geraniumstand.model.id.DataCentreId;

/**
 * A class of hosts that the cloud offers in a data centre.
 *
 * @param dataCentre where the hosts are
 * @param hostClass the class of host
 * @param reclaimable whether the cloud may take them back at short notice
 * @param centsPerHour price of a host in hundredths of the currency unit an hour
 */
public record HostPool(DataCentreId dataCentre, String hostClass, boolean reclaimable, int centsPerHour) {}
