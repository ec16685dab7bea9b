package org.geraniumstand.model.config;

import org.geraniumstand.model.id.DataCentreId;

/**
 * Describes a host class that the cloud provider offers in a data centre, with its price.
 *
 * @param dataCentre the data centre of the hosts
 * @param hostClass the host class
 * @param reclaimable whether the cloud provider may reclaim the hosts at short notice
 * @param centsPerHour price per host-hour, in hundredths of the currency unit
 */
public record HostPool(DataCentreId dataCentre, String hostClass, boolean reclaimable, int centsPerHour) {}
