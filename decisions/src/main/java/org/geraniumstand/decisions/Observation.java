package org.geraniumstand.decisions;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadMark;
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
import org.geraniumstand.model.request.AttemptReport;
import org.geraniumstand.model.request.RequestFacts;

/** Something that a process has seen and that decisions are taken on. */
public sealed interface Observation {
    /**
     * A configuration was accepted; a lower generation than the one in force is ignored.
     *
     * @param configuration the document
     */
    record ConfigurationAccepted(Configuration configuration) implements Observation {}

    /**
     * The platform's lagging list of backend servers was read.
     *
     * @param servers all backend servers listed
     */
    record FleetListed(List<BackendServer> servers) implements Observation {
        /** Copies the list. */
        public FleetListed {
            servers = List.copyOf(servers);
        }
    }

    /**
     * The cloud's reclaim notices were read.
     *
     * @param notices all notices that stand
     */
    record ReclaimsNoticed(List<ReclaimNotice> notices) implements Observation {
        /** Copies the list. */
        public ReclaimsNoticed {
            notices = List.copyOf(notices);
        }
    }

    /**
     * The live members were determined anew.
     *
     * @param members all live members, this process included
     */
    record MembersSeen(List<Member> members) implements Observation {
        /** Copies the list. */
        public MembersSeen {
            members = List.copyOf(members);
        }
    }

    /**
     * A backend server reported its load.
     *
     * @param server the backend server
     * @param report what it reported
     */
    record LoadReported(ServerId server, LoadReport report) implements Observation {}

    /**
     * A backend server did not answer when its load was asked.
     *
     * @param server the backend server
     */
    record LoadUnknown(ServerId server) implements Observation {}

    /**
     * A model engine's prefix cache changed.
     *
     * @param event what changed
     */
    record CacheChanged(CacheEvent event) implements Observation {}

    /**
     * A keeper granted shares of backend servers to this process.
     *
     * @param keeper the keeper
     * @param grants its grants
     */
    record GrantsReceived(ProcessId keeper, List<Grant> grants) implements Observation {
        /** Copies the list. */
        public GrantsReceived {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Another process wishes for shares of backend servers that this process keeps.
     *
     * @param demands its wishes
     */
    record DemandsReceived(List<Demand> demands) implements Observation {
        /** Copies the list. */
        public DemandsReceived {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Evidence of other processes arrived.
     *
     * @param rows the rows, merged by maximum
     */
    record EvidenceReceived(List<EvidenceRow> rows) implements Observation {
        /** Copies the list. */
        public EvidenceReceived {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Other processes or the store say that versions are bad.
     *
     * @param marks their marks
     */
    record BadMarksReceived(List<BadMark> marks) implements Observation {
        /** Copies the list. */
        public BadMarksReceived {
            marks = List.copyOf(marks);
        }
    }

    /**
     * A caller's request passed the filters at the edge.
     *
     * @param request what decisions need to know about it
     */
    record RequestArrived(RequestFacts request) implements Observation {}

    /**
     * A caller left before its answer was whole.
     *
     * @param request its request
     */
    record RequestAbandoned(RequestId request) implements Observation {}

    /**
     * The first byte of an answer arrived.
     *
     * @param request the request
     * @param attempt the attempt, from 1
     * @param firstByteMillis milliseconds since the attempt started
     */
    record AnswerStarted(RequestId request, int attempt, long firstByteMillis) implements Observation {}

    /**
     * More of a stream was relayed.
     *
     * @param request the request
     * @param attempt the attempt, from 1
     * @param tokens tokens relayed to the caller so far, over all attempts
     */
    record StreamAdvanced(RequestId request, int attempt, int tokens) implements Observation {}

    /**
     * An attempt at a backend server ended.
     *
     * @param request the request
     * @param attempt the attempt, from 1
     * @param report what it brought
     */
    record AttemptEnded(RequestId request, int attempt, AttemptReport report) implements Observation {}

    /** The process was asked to stop. */
    record StopRequested() implements Observation {}

    /** Time passed; sent every {@link #TICK_MILLIS} milliseconds. */
    record Tick() implements Observation {}

    /** Milliseconds between ticks. */
    int TICK_MILLIS = 100;
}
