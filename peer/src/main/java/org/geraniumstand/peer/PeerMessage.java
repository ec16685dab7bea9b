package org.geraniumstand.peer;

import java.util.List;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimVerdict;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.Member;

/** A message between entry processes. */
public sealed interface PeerMessage {
    /**
     * The members and the configuration that a process knows; sent as a heartbeat.
     *
     * @param sender the sending process as it is now
     * @param members all members that it believes to be alive
     * @param generation generation of the configuration in force there, or -1 without one
     * @param confirmationAgeMillis how long ago the store or a peer confirmed that generation, in milliseconds
     */
    record Heartbeat(Member sender, List<Member> members, long generation, long confirmationAgeMillis)
            implements PeerMessage {
        /** Copies the list. */
        public Heartbeat {
            members = List.copyOf(members);
        }
    }

    /**
     * A whole configuration, sent to a peer that has an older one.
     *
     * @param configuration the document
     */
    record ConfigurationOffer(Configuration configuration) implements PeerMessage {}

    /**
     * Evidence about versions.
     *
     * @param rows rows of any process, merged by maximum
     */
    record EvidenceShare(List<EvidenceRow> rows) implements PeerMessage {
        /** Copies the list. */
        public EvidenceShare {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Marks of bad versions.
     *
     * @param marks the marks
     */
    record BadMarkShare(List<BadMark> marks) implements PeerMessage {
        /** Copies the list. */
        public BadMarkShare {
            marks = List.copyOf(marks);
        }
    }

    /**
     * A keeper's grants to the receiver.
     *
     * @param grants the grants
     */
    record GrantShare(List<Grant> grants) implements PeerMessage {
        /** Copies the list. */
        public GrantShare {
            grants = List.copyOf(grants);
        }
    }

    /**
     * Wishes for grants, sent to a keeper.
     *
     * @param demands the wishes
     */
    record DemandShare(List<Demand> demands) implements PeerMessage {
        /** Copies the list. */
        public DemandShare {
            demands = List.copyOf(demands);
        }
    }

    /**
     * A stream that the sender hands to the receiver because it stops.
     *
     * @param state all that is needed to go on with it
     */
    record StreamHandover(StreamState state) implements PeerMessage {}

    /**
     * Confirms that a handed-over stream was taken.
     *
     * @param team the caller's team
     * @param callerRequestId the caller's name for the request
     */
    record StreamTaken(String team, String callerRequestId) implements PeerMessage {}

    /**
     * A change of a claim, sent to the usual writer of its slot.
     *
     * @param correlation the sender's number of the message
     * @param change the change
     */
    record ClaimForward(long correlation, ClaimChange change) implements PeerMessage {}

    /**
     * What became of a forwarded change.
     *
     * @param correlation the number of the message that brought the change
     * @param verdict what became of it
     */
    record ClaimReply(long correlation, ClaimVerdict verdict) implements PeerMessage {}

    /**
     * Asks whether the receiver holds a stream that was handed over.
     *
     * @param team the caller's team
     * @param callerRequestId the caller's name for the request
     */
    record StreamAsk(String team, String callerRequestId) implements PeerMessage {}

    /**
     * Says that the sender holds a stream that was handed over.
     *
     * @param team the caller's team
     * @param callerRequestId the caller's name for the request
     */
    record StreamHeld(String team, String callerRequestId) implements PeerMessage {}
}
