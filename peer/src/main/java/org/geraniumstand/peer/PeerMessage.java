package org.geraniumstand.peer;

import java.util.List;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.Confirmation;
import org.geraniumstand.model.member.MemberNews;
import org.geraniumstand.model.relay.ServerLoss;
import org.geraniumstand.model.relay.ServerUse;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.outside.relay.RevisionStore;

/** A message between entry processes. */
public sealed interface PeerMessage {
    /**
     * A regular sign of life.
     *
     * @param beat the sender's count of its own statements
     * @param memberDigest equal where the same members are held to be alive
     * @param generation generation of the configuration in force there, or -1 without one
     * @param checksum checksum of that document's text
     * @param confirmationAgeMillis how long ago the store confirmed that generation, in milliseconds, or -1 if it never
     *     did
     */
    record Heartbeat(long beat, long memberDigest, long generation, long checksum, long confirmationAgeMillis)
            implements PeerMessage {}

    /**
     * Statements about members.
     *
     * @param news the statements
     */
    record MemberShare(List<MemberNews> news) implements PeerMessage {
        /** Copies the list. */
        public MemberShare {
            news = List.copyOf(news);
        }
    }

    /**
     * Says which processes have which configuration in force.
     *
     * @param confirmations one entry a process, merged by maximum
     */
    record ConfirmationShare(List<Confirmation> confirmations) implements PeerMessage {
        /** Copies the list. */
        public ConfirmationShare {
            confirmations = List.copyOf(confirmations);
        }
    }

    /**
     * Asks for the configuration in force at the receiver.
     *
     * @param aboveGeneration generation that the sender has, or -1 without one
     */
    record ConfigurationAsk(long aboveGeneration) implements PeerMessage {}

    /**
     * A whole configuration, sent to a peer that asked for it.
     *
     * <p>The text is passed on as it was read, so that a process of a lower protocol level loses no entry.
     *
     * @param text the document, JSON text
     */
    record ConfigurationOffer(String text) implements PeerMessage {}

    /**
     * A message that is passed on from neighbour to neighbour until all members have it.
     *
     * @param origin the process that sent it first
     * @param sequence number of the message at its origin
     * @param content the message as its origin encoded it
     */
    record Relayed(ProcessId origin, long sequence, EncodedMessage content) implements PeerMessage {}

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
    record ClaimReply(long correlation, ClaimResult verdict) implements PeerMessage {}

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

    /**
     * Changes of the platform's list of backend servers that the sender saw first.
     *
     * @param change the changes
     */
    record FleetNews(FleetChange change) implements PeerMessage {}

    /**
     * What the sender let teams use of their quotas since it started, and what it has in flight now.
     *
     * @param uses a use a team
     * @param inFlight its calls in flight by server; servers without any are left out
     * @param lost servers that it lost while it hears nothing of the store
     */
    record TeamUseShare(List<TeamUse> uses, List<ServerUse> inFlight, List<ServerLoss> lost) implements PeerMessage {
        /** Copies the lists. */
        public TeamUseShare {
            uses = List.copyOf(uses);
            inFlight = List.copyOf(inFlight);
            lost = List.copyOf(lost);
        }
    }

    /**
     * What all processes but the receiver let teams use, as far as they told the sender.
     *
     * @param uses a use a team, since the sender began to add up
     * @param heard processes that told the sender lately
     * @param inFlight what they have in flight by server; empty if the sender does not tell the receiver
     * @param lost servers that any process lost lately while it heard nothing of the store
     */
    record OthersUse(List<TeamUse> uses, int heard, List<ServerUse> inFlight, List<ServerLoss> lost)
            implements PeerMessage {
        /** Copies the lists. */
        public OthersUse {
            uses = List.copyOf(uses);
            inFlight = List.copyOf(inFlight);
            lost = List.copyOf(lost);
        }
    }

    /**
     * Requests that the sender's calls began to run.
     *
     * @param windows its counts by window, as far as the receiver may not have them
     */
    record UsageShare(List<WindowCounts> windows) implements PeerMessage {
        /** Copies the list. */
        public UsageShare {
            windows = List.copyOf(windows);
        }
    }

    /**
     * Confirms counts of requests.
     *
     * @param totals requests of the receiver that the sender knows of, by window
     */
    record UsageHeard(List<WindowTotal> totals) implements PeerMessage {
        /** Copies the list. */
        public UsageHeard {
            totals = List.copyOf(totals);
        }
    }

    /**
     * The version of the configuration of relayed calls that is in force at the sender.
     *
     * @param version the version, or zero for none
     */
    record PlanNews(long version) implements PeerMessage {}

    /**
     * Asks for the configuration of relayed calls.
     *
     * @param aboveVersion the version that the sender has
     */
    record PlanAsk(long aboveVersion) implements PeerMessage {}

    /**
     * What others wrote to the store, as the sender saw it.
     *
     * @param since revision after which these are all changes that matter
     * @param at revision up to which they are
     * @param withheld whether changes were left out because they are large
     * @param changes the changes in order
     */
    record StoreNews(long since, long at, boolean withheld, List<RevisionStore.Change> changes) implements PeerMessage {
        /** Copies the list. */
        public StoreNews {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The configuration of relayed calls that is in force at the sender.
     *
     * @param version its version
     * @param text the document as the store held it
     */
    record PlanShare(long version, String text) implements PeerMessage {}
}
