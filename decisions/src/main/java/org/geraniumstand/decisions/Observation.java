package org.geraniumstand.decisions;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;

/** Represents an event that this process observed and that the traffic controller processes. */
public sealed interface Observation {
    /**
     * A configuration was accepted; one whose generation is not above the generation in force is ignored.
     *
     * @param configuration the accepted configuration
     */
    record ConfigurationAccepted(Configuration configuration) implements Observation {}

    /**
     * The platform's list of backend servers was read; the list lags behind the actual state.
     *
     * @param servers all backend servers on the list
     */
    record ServersListed(List<BackendServer> servers) implements Observation {
        /** Copies the list. */
        public ServersListed {
            servers = List.copyOf(servers);
        }
    }

    /**
     * The cloud's reclaim notices were read.
     *
     * @param notices all notices that are currently active
     */
    record ReclaimNoticesRead(List<ReclaimNotice> notices) implements Observation {
        /** Copies the list. */
        public ReclaimNoticesRead {
            notices = List.copyOf(notices);
        }
    }

    /**
     * The set of live members was updated.
     *
     * @param members all live members, including this process
     */
    record MembersUpdated(List<Member> members) implements Observation {
        /** Copies the list. */
        public MembersUpdated {
            members = List.copyOf(members);
        }
    }

    /**
     * A backend server reported its load.
     *
     * @param server id of the backend server
     * @param report the reported load
     */
    record LoadReported(ServerId server, LoadReport report) implements Observation {}

    /**
     * A backend server did not respond to a load poll.
     *
     * @param server id of the backend server
     */
    record LoadPollFailed(ServerId server) implements Observation {}

    /**
     * A model engine's prefix cache changed.
     *
     * @param event the prefix blocks that were stored and evicted
     */
    record CacheChanged(CacheEvent event) implements Observation {}

    /**
     * The owner of backend servers granted concurrency at them to this process.
     *
     * @param owner the process that owns the servers
     * @param grants the grants, one for each server
     */
    record GrantsReceived(ProcessId owner, List<Grant> grants) implements Observation {
        /** Copies the list. */
        public GrantsReceived {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Another process requested concurrency at backend servers that this process owns.
     *
     * @param demands the requested concurrency, one demand for each server
     */
    record DemandsReceived(List<Demand> demands) implements Observation {
        /** Copies the list. */
        public DemandsReceived {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Evidence recorded by other processes was received.
     *
     * @param rows the received rows; each counter is merged by taking the maximum
     */
    record EvidenceReceived(List<EvidenceRow> rows) implements Observation {
        /** Copies the list. */
        public EvidenceReceived {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Other processes or the store reported versions as bad.
     *
     * @param badVersions the versions reported as bad, with their moves and reasons
     */
    record BadVersionsReceived(List<BadVersion> badVersions) implements Observation {
        /** Copies the list. */
        public BadVersionsReceived {
            badVersions = List.copyOf(badVersions);
        }
    }

    /**
     * A caller's request passed the request filters.
     *
     * @param request the properties of the request that decisions depend on
     */
    record RequestArrived(RequestInfo request) implements Observation {}

    /**
     * A caller disconnected before its answer was complete.
     *
     * @param request id of the caller's request
     */
    record CallerDisconnected(RequestId request) implements Observation {}

    /**
     * The first byte of an answer arrived.
     *
     * @param request id of the request
     * @param attempt number of the attempt, starting at 1
     * @param firstByteMillis time from the start of the attempt to the first byte, in milliseconds
     */
    record AnswerStarted(RequestId request, int attempt, long firstByteMillis) implements Observation {}

    /**
     * More tokens of a streamed answer were relayed to the caller.
     *
     * @param request id of the request
     * @param attempt number of the attempt, starting at 1
     * @param tokens total tokens relayed to the caller so far, over all attempts
     */
    record StreamProgressed(RequestId request, int attempt, int tokens) implements Observation {}

    /**
     * An attempt at a backend server ended.
     *
     * @param request id of the request
     * @param attempt number of the attempt, starting at 1
     * @param report the result of the attempt
     */
    record AttemptEnded(RequestId request, int attempt, AttemptResult report) implements Observation {}

    /** A graceful shutdown of the process was requested. */
    record ShutdownRequested() implements Observation {}

    /** A timer tick, sent every {@link #TICK_MILLIS} milliseconds. */
    record Tick() implements Observation {}

    /** Interval between ticks, in milliseconds. */
    int TICK_MILLIS = 100;
}
