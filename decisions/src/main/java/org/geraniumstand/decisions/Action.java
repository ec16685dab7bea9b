package org.geraniumstand.decisions;

import java.util.List;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.evidence.BadMark;
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

/** Something that decisions want done by the tasks that own sockets. */
public sealed interface Action {
    /**
     * Send a request to a backend server.
     *
     * <p>Where a part of the answer was relayed already, the attempt resumes after it.
     *
     * @param request the request
     * @param attempt number of the attempt, from 1
     * @param server the backend server
     * @param limits its time limits
     * @param transfer how the work moves from the attempt before
     */
    record Dispatch(RequestId request, int attempt, BackendServer server, AttemptLimits limits, Transfer transfer)
            implements Action {}

    /**
     * End a request with a refusal.
     *
     * <p>A request that must run at most once and whose attempt ended with
     * {@link org.geraniumstand.model.request.AttemptEnd#SERVER_ERROR} is not refused: the task that holds the caller
     * relays the backend server's own answer.
     *
     * @param request the request
     * @param refusal the final answer
     */
    record Refuse(RequestId request, Refusal refusal) implements Action {}

    /**
     * Forget a request: it has its answer or needs none, and no action about it follows.
     *
     * @param request the request
     */
    record Settle(RequestId request) implements Action {}

    /**
     * End an attempt and close its connection.
     *
     * @param request the request
     * @param attempt the attempt
     */
    record CancelAttempt(RequestId request, int attempt) implements Action {}

    /**
     * Send grants to a process.
     *
     * @param to the process
     * @param grants the grants
     */
    record SendGrants(ProcessId to, List<Grant> grants) implements Action {
        /** Copies the list. */
        public SendGrants {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Send wishes to a keeper.
     *
     * @param keeper the keeper
     * @param demands the wishes
     */
    record SendDemands(ProcessId keeper, List<Demand> demands) implements Action {
        /** Copies the list. */
        public SendDemands {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Send evidence to all peers.
     *
     * @param rows this process's rows that changed
     */
    record ShareEvidence(List<EvidenceRow> rows) implements Action {
        /** Copies the list. */
        public ShareEvidence {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Send a mark to all peers at once, and to the store when it answers.
     *
     * @param mark the mark
     */
    record ShareBadMark(BadMark mark) implements Action {}

    /**
     * Poll the load of exactly these backend servers from now on.
     *
     * @param servers the backend servers that this process keeps
     */
    record KeepServers(List<BackendServer> servers) implements Action {
        /** Copies the list. */
        public KeepServers {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Record the end of a move in the configuration.
     *
     * @param move the move
     * @param end done or withdrawn
     * @param reason why
     */
    record EndMove(MoveId move, MoveState end, String reason) implements Action {}

    /**
     * Put an event on the time line.
     *
     * @param kind what happened
     * @param reason the decision's summary
     * @param fields details
     */
    record Note(EventKind kind, String reason, List<Field> fields) implements Action {
        /** Copies the list. */
        public Note {
            fields = List.copyOf(fields);
        }
    }

    /** All work of this process has ended after a stop was requested. */
    record StopCompleted() implements Action {}

    /** How work moves from one attempt to the next. */
    enum Transfer {
        /** There is nothing to move. */
        NONE,
        /** The prompt and the answer so far are sent again. */
        RESUME,
        /** The KV cache is exported by the old server and imported by the new one. */
        KV_CACHE
    }

    /**
     * Time limits of an attempt.
     *
     * @param firstByteMillis silence allowed before the first byte of the answer, in milliseconds
     * @param betweenBytesMillis silence allowed between bytes of the answer, in milliseconds
     * @param provenConnection whether only a fresh or lately used connection may carry it
     */
    record AttemptLimits(long firstByteMillis, long betweenBytesMillis, boolean provenConnection) {}
}
