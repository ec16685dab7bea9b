package org.geraniumstand.decisions.moves;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptReport;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/**
 * Follows all version moves of a process and decides which version a request goes to.
 *
 * <p>Its choices depend on the plan, the time, the merged evidence and the bad marks alone, so that all processes
 * come to the same share without a leader.
 */
@SuppressWarnings("StrictUnusedVariable")
public final class MoveBoard {
    private Optional<Configuration> configuration = Optional.empty();

    /**
     * Creates the board of a process.
     *
     * @param self the process
     */
    public MoveBoard(ProcessId self) {}

    /**
     * Takes in a configuration.
     *
     * @param next the configuration in force
     * @param now the time
     */
    public List<Action> onConfiguration(Configuration next, Moment now) {
        configuration = Optional.of(next);
        return List.of();
    }

    /**
     * Returns the versions that a request may go to, the one to try first in front.
     *
     * @param facts the request
     * @param now the time
     */
    public List<VersionId> versionsFor(RequestFacts facts, Moment now) {
        return configuration.flatMap(c -> c.service(facts.service())).map(Service::version).stream()
                .toList();
    }

    /**
     * Counts an attempt.
     *
     * @param facts the request
     * @param server the backend server
     * @param report what the attempt brought
     * @param now the time
     */
    public List<Action> onAttemptEnded(RequestFacts facts, BackendServer server, AttemptReport report, Moment now) {
        return List.of();
    }

    /**
     * Takes in evidence of other processes.
     *
     * @param rows the rows
     * @param now the time
     */
    public List<Action> onEvidence(List<EvidenceRow> rows, Moment now) {
        return List.of();
    }

    /**
     * Takes in marks of other processes or of the store.
     *
     * @param marks the marks
     * @param now the time
     */
    public List<Action> onBadMarks(List<BadMark> marks, Moment now) {
        return List.of();
    }

    /**
     * Takes in the list of backend servers that may take work.
     *
     * @param servers the backend servers
     * @param now the time
     */
    public List<Action> onFleet(List<BackendServer> servers, Moment now) {
        return List.of();
    }

    /**
     * Lets time pass.
     *
     * @param now the time
     */
    public List<Action> onTick(Moment now) {
        return List.of();
    }
}
