package org.geraniumstand.proofs.moves;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;

/** Selects versions for requests in all entry processes of a trial. */
interface Policy {
    List<VersionId> versionsFor(int process, RequestInfo requestInfo);

    void attemptEnded(int process, RequestInfo requestInfo, BackendServer server, AttemptResult report);

    void updateConfiguration(int process, Configuration next);

    void updateFleet(List<BackendServer> servers);

    void updateWarmth(ServerId server, boolean warm);

    void tick(int process);

    void restart(int process);
}
