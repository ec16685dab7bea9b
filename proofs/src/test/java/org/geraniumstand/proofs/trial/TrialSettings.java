package org.geraniumstand.proofs.trial;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;

/**
 * Describes the deployment that a trial simulates.
 *
 * @param processes number of entry processes
 * @param dataCentres data centres of the deployment
 * @param servers backend servers at the start
 * @param configuration configuration at the start
 * @param peerDelayMillis delay of messages between processes, in milliseconds
 * @param reportLagMillis mean age of load reports, in milliseconds
 */
public record TrialSettings(
        int processes,
        List<DataCentreId> dataCentres,
        List<BackendServer> servers,
        Configuration configuration,
        double peerDelayMillis,
        double reportLagMillis) {
    /** Creates the controllers of a trial. */
    @FunctionalInterface
    public interface Controllers {
        /**
         * Creates the controller of one process.
         *
         * @param self process that the controller decides for
         * @param processes number of entry processes
         */
        Controller create(ProcessId self, int processes);
    }

    /**
     * Returns a copy of these settings with a different age of load reports.
     *
     * @param millis mean age of load reports, in milliseconds
     */
    public TrialSettings withReportLag(double millis) {
        return new TrialSettings(processes, dataCentres, servers, configuration, peerDelayMillis, millis);
    }
}
