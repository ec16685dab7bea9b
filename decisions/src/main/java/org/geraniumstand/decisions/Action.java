package org.geraniumstand.decisions;

import java.util.List;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Represents a command that the traffic controller issues to the tasks that perform I/O. */
public sealed interface Action {
    /**
     * Sends a request to a backend server.
     *
     * <p>If part of the answer has already been relayed to the caller, the attempt resumes after that part.
     *
     * @param request id of the request
     * @param attempt number of the attempt, starting at 1
     * @param server the backend server that receives the request
     * @param limits timeouts and connection requirements of the attempt
     * @param transfer how the state of the previous attempt is transferred to the server
     */
    record Dispatch(RequestId request, int attempt, BackendServer server, AttemptLimits limits, Transfer transfer)
            implements Action {}

    /**
     * Ends a request with a refusal.
     *
     * <p>A request that must run at most once and whose attempt ended with
     * {@link org.geraniumstand.model.request.AttemptEnd#SERVER_ERROR} is not refused: the task that holds the caller's
     * connection relays the backend server's own error response.
     *
     * @param request id of the request
     * @param refusal the response sent to the caller
     */
    record Refuse(RequestId request, Refusal refusal) implements Action {}

    /**
     * Removes a request that has been answered or needs no answer; no further action refers to it.
     *
     * @param request id of the request
     */
    record RemoveRequest(RequestId request) implements Action {}

    /**
     * Cancels an attempt and closes its connection to the backend server.
     *
     * @param request id of the request
     * @param attempt number of the attempt, starting at 1
     */
    record CancelAttempt(RequestId request, int attempt) implements Action {}

    /**
     * Sends concurrency grants to another process.
     *
     * @param recipient the process that receives the grants
     * @param grants the concurrency limits that the receiver may use at each backend server
     */
    record SendGrants(ProcessId recipient, List<Grant> grants) implements Action {
        /** Copies the list. */
        public SendGrants {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Sends this process's concurrency demands to the process that owns the backend servers.
     *
     * @param owner the owner of the servers, which divides their concurrency among the processes
     * @param demands the concurrency that this process requests at each server
     */
    record SendDemands(ProcessId owner, List<Demand> demands) implements Action {
        /** Copies the list. */
        public SendDemands {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Sends the changed evidence of this process to all peers.
     *
     * @param rows the rows that changed since they were last sent
     */
    record ShareEvidence(List<EvidenceRow> rows) implements Action {
        /** Copies the list. */
        public ShareEvidence {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Broadcasts that a version is bad to all peers immediately, and writes it to the store once the store responds.
     *
     * @param badVersion the version, its move and the reason
     */
    record ShareBadVersion(BadVersion badVersion) implements Action {}

    /**
     * Replaces the set of backend servers whose load this process polls.
     *
     * @param servers the backend servers that this process owns
     */
    record PollServers(List<BackendServer> servers) implements Action {
        /** Copies the list. */
        public PollServers {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Records the end of a version move in the configuration.
     *
     * @param move id of the move
     * @param finalState the final state, done or withdrawn
     * @param reason why the move ended, shown to operators
     */
    record EndMove(MoveId move, MoveState finalState, String reason) implements Action {}

    /**
     * Records an event on the timeline.
     *
     * @param kind kind of the event
     * @param reason summary of the decision that caused the event, or empty
     * @param fields named values that describe the event
     */
    record RecordEvent(EventKind kind, String reason, List<Field> fields) implements Action {
        /** Copies the list. */
        public RecordEvent {
            fields = List.copyOf(fields);
        }
    }

    /** Reports that all work of this process has ended after a shutdown request, so that the process can exit. */
    record ShutdownCompleted() implements Action {}

    /** Specifies how the state of a request is transferred from one attempt to the next. */
    enum Transfer {
        /** There is no earlier attempt, so there is no state to transfer. */
        NONE,
        /** The prompt and the part of the answer relayed so far are sent to the new server. */
        RESUME,
        /** The old server exports its KV cache of the request and the new server imports it. */
        KV_CACHE
    }

    /**
     * Holds the timeouts and connection requirements of an attempt.
     *
     * @param firstByteMillis timeout for the first byte of the answer, in milliseconds
     * @param betweenBytesMillis idle timeout between bytes of the answer, in milliseconds
     * @param requiresRecentConnection whether the attempt requires a new or recently used connection
     */
    record AttemptLimits(long firstByteMillis, long betweenBytesMillis, boolean requiresRecentConnection) {}
}
