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

    void ended(int process, RequestInfo requestInfo, BackendServer server, AttemptResult report);

    void configuration(int process, Configuration next);

    void fleet(List<BackendServer> servers);

    void warmth(ServerId server, boolean warm);

    void tick(int process);

    void restart(int process);
}
