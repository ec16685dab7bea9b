package org.geraniumstand.proofs.trial;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;

/**
 * The sizes of a trial.
 *
 * @param processes entry processes
 * @param dataCentres data centres
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
    /** Makes the controllers of a trial. */
    @FunctionalInterface
    public interface Controllers {
        /**
         * Makes a controller.
         *
         * @param self its process
         * @param processes how many processes there are
         */
        Controller create(ProcessId self, int processes);
    }

    /**
     * Returns these settings with load reports of another age.
     *
     * @param millis mean age, in milliseconds
     */
    public TrialSettings withReportLag(double millis) {
        return new TrialSettings(processes, dataCentres, servers, configuration, peerDelayMillis, millis);
    }
}
